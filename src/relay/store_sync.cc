#include "relay/store_sync.h"

#include "core/log.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace marigoldladder::relay {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr auto watchTimeout = Milliseconds(25'000);
    // Upstreams renew their entries continuously, so this short watch also detects an unresponsive store
    // soon.
    constexpr auto upstreamWatchTimeout = Milliseconds(400);
    // The pause between two watches of upstreams is this fraction of the drain time: changes close together
    // cost one call, and a leaving upstream still gets no request after the drain time.
    constexpr auto pausesPerDrainTime = 6;
    constexpr auto versionWatchPause = Milliseconds(100);
    constexpr auto minBackoffMs = 60;
    constexpr auto maxBackoffMs = 120; // Short, as changes must be in force soon after the store recovers.
    constexpr auto probeInterval = Milliseconds(1'000);
    constexpr auto peerPollInterval = Milliseconds(60);
    // Time after the start by which a node of a large fleet has received its peers' summaries, and so knows
    // whether it should watch.
    constexpr auto peerDiscoveryTime = Milliseconds(500);
    // Longest delay before a fetch from another data centre: a peer in this one may receive the change by
    // then.
    constexpr auto maxRemoteFetchDelayMs = 80;

    // Upstreams whose entries expired while the store was unreachable write them again within this time of
    // its recovery.
    constexpr auto recoveryTime = Milliseconds(2'300);

    auto watchPause(ObjectKind kind, const FleetBounds& bounds) -> Milliseconds
    {
        switch (kind) {
        case ObjectKind::Upstreams:
            return bounds.m_drainTime / pausesPerDrainTime;
        case ObjectKind::AdapterVersions:
            return versionWatchPause;
        case ObjectKind::Configuration:
        case ObjectKind::Evacuations:
            return Milliseconds(0);
        }
        return Milliseconds(0);
    }

} // namespace

StoreSync::StoreSync(Executor executor, const RelaySettings& settings, RelayBoard& board,
    const ObjectStore& store, const ObjectSchema& schema)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_board(board)
    , m_store(store)
    , m_schema(schema)
    , m_exchange(m_executor, board.m_objects)
    , m_random(std::random_device()())
{
}

auto StoreSync::start() -> bool
{
    if (!m_exchange.listen(m_settings.m_peerAddress))
        return false;
    m_startedAt = Clock::now();
    for (const auto kind : objectKinds) {
        net::co_spawn(m_executor, follow(kind), net::detached);
        net::co_spawn(m_executor, followPeers(kind), net::detached);
    }
    return true;
}

auto StoreSync::hasAllKinds() const -> bool
{
    return std::all_of(objectKinds.begin(), objectKinds.end(), [this](ObjectKind kind) {
        const auto found = m_board.m_objects.find(kind);
        return found != m_board.m_objects.end() && found->second.m_revision > 0;
    });
}

auto StoreSync::kindName(ObjectKind kind) const -> const std::string&
{
    switch (kind) {
    case ObjectKind::Configuration:
        return m_schema.m_configurationKind;
    case ObjectKind::Upstreams:
        return m_schema.m_upstreamKind;
    case ObjectKind::Evacuations:
        return m_schema.m_evacuationKind;
    case ObjectKind::AdapterVersions:
        break;
    }
    return m_schema.m_versionKind;
}

auto StoreSync::backoff() -> Milliseconds
{
    return Milliseconds(std::uniform_int_distribution<int>(minBackoffMs, maxBackoffMs)(m_random));
}

auto StoreSync::recordReachability(bool reachable) -> void
{
    if (!reachable)
        m_wasUnreachable = true;
    if (reachable && m_wasUnreachable) {
        m_wasUnreachable = false;
        m_board.m_storeRecoveredAt = Clock::now();
    }
    if (reachable == m_board.m_storeReachable)
        return;
    m_board.m_storeReachable = reachable;
    logChange(reachable ? "store_reached" : "store_lost");
}

auto StoreSync::recordEra(ObjectKind kind, const ObjectListing& listing) -> void
{
    if (listing.m_era == m_era)
        return;
    logChange("store_era",
        { { "era", std::to_string(listing.m_era) }, { "before", std::to_string(m_era) },
            { "kind", kindName(kind) }, { "revision", std::to_string(listing.m_revision) },
            { "known_revision", std::to_string(m_board.m_objects[kind].m_revision) } });
    m_era = listing.m_era;
}

// While no node is known to reach the store, nodes that should not watch it probe it periodically: those that
// should may be partitioned from it.
auto StoreSync::beginProbeIfDue(ObjectKind kind) -> bool
{
    const auto now = Clock::now();
    if (kind != ObjectKind::Configuration || m_board.m_storeReachable || now < m_nextProbeAt
        || anyPeerReachesStore(m_board.m_fleet, now))
        return false;
    m_nextProbeAt = now + probeInterval;
    return true;
}

// Called when a watch timed out. Other nodes watch instead of this one until the store answers it again.
auto StoreSync::markStoreUnreachable() -> void
{
    if (!m_board.m_storeReachable)
        return;
    m_board.m_storeReachable = false;
    logChange("store_lost");
    m_board.m_storeChangeReceived();
}

auto StoreSync::mustWatchStore(ObjectKind kind) const -> bool
{
    const auto found = m_board.m_objects.find(kind);
    const auto unknown = found == m_board.m_objects.end() || found->second.m_revision == 0;
    const auto self = StoreWatcher { m_settings.m_vm, m_settings.m_dataCentre, m_board.m_storeReachable };
    return unknown || shouldWatchStore(m_board.m_fleet, self, Clock::now());
}

auto StoreSync::isKnownSmallFleet() const -> bool
{
    return m_board.m_fleet.m_membersRead && isSmallFleet(m_board.m_fleet);
}

// While the store is unreachable, only the configuration is requested; the other kinds wait for its recovery.
auto StoreSync::isRetryPaused(ObjectKind kind) const -> bool
{
    return kind != ObjectKind::Configuration && m_wasUnreachable && !m_board.m_storeReachable;
}

// On the first start of the whole system there are no earlier objects that an old listing could bring back,
// and as all nodes list at once, a listing that is cheap for the store is preferred.
auto StoreSync::requiredListingAge(ObjectKind kind) const -> ListingAge
{
    const auto found = m_board.m_objects.find(kind);
    const auto unknown = found == m_board.m_objects.end() || found->second.m_revision == 0;
    return m_settings.m_firstStart && unknown ? ListingAge::AnyAge : ListingAge::Current;
}

auto StoreSync::follow(ObjectKind kind) -> Awaitable<void>
{
    for (;;) {
        while (isRetryPaused(kind) || (!mustWatchStore(kind) && !beginProbeIfDue(kind)))
            co_await sleepFor(peerPollInterval);
        // A failed watch is followed by a listing, even if only other nodes should watch by then.
        auto watchFailed = true;
        while (watchFailed) {
            auto listing = co_await m_store.m_list(kindName(kind), requiredListingAge(kind));
            if (!listing) {
                recordReachability(false);
                co_await sleepFor(backoff());
                break;
            }
            recordReachability(true);
            recordEra(kind, listing.value());
            applyChanges(kind, mergeListing(m_board.m_objects[kind], listing.value()));
            watchFailed = co_await watchWhileAssigned(kind);
        }
    }
}

auto StoreSync::watchWhileAssigned(ObjectKind kind) -> Awaitable<bool>
{
    auto& cache = m_board.m_objects[kind];
    while (Clock::now() < m_startedAt + peerDiscoveryTime && !isKnownSmallFleet())
        co_await sleepFor(peerPollInterval);
    while (mustWatchStore(kind)) {
        const auto timeout = kind == ObjectKind::Upstreams ? upstreamWatchTimeout : watchTimeout;
        const auto begun = Clock::now();
        auto changes = co_await m_store.m_watch(kindName(kind), cache.m_revision, timeout);
        if (!changes) {
            // A watch from a revision whose history is gone may hang instead of failing, so the kind is
            // listed again after any failure.
            const auto mustBackOff = changes.error().m_type != StoreFailureType::HistoryLost;
            const auto timedOut = Clock::now() - begun >= timeout;
            if (timedOut && changes.error().m_type == StoreFailureType::Unavailable)
                markStoreUnreachable();
            logChange(
                "store_watch_ended", { { "kind", kindName(kind) }, { "reason", changes.error().m_message } });
            if (mustBackOff)
                co_await sleepFor(backoff());
            co_return true;
        }
        recordReachability(true);
        auto update
            = CacheChanges { std::move(changes.value().m_changes), changes.value().m_revision, false };
        applyChanges(kind, mergeChanges(cache, update));
        if (kind != ObjectKind::Upstreams && !update.m_changes.empty())
            m_board.m_storeChangeReceived();
        const auto pause = watchPause(kind, m_settings.m_bounds);
        if (pause.count() > 0)
            co_await sleepFor(pause);
    }
    co_return false;
}

auto StoreSync::followPeers(ObjectKind kind) -> Awaitable<void>
{
    const auto index = static_cast<std::size_t>(kind);
    for (;;) {
        co_await sleepFor(peerPollInterval);
        const auto revision = m_board.m_objects[kind].m_revision;
        const auto* peer
            = peerWithNewerObjects(m_board.m_fleet, index, revision, m_settings.m_dataCentre, Clock::now());
        if (!peer)
            continue;
        if (peer->m_dataCentre != m_settings.m_dataCentre) {
            const auto delay = std::uniform_int_distribution<int>(0, maxRemoteFetchDelayMs)(m_random);
            co_await sleepFor(Milliseconds(delay));
            peer = peerWithNewerObjects(m_board.m_fleet, index, m_board.m_objects[kind].m_revision,
                m_settings.m_dataCentre, Clock::now());
            if (!peer)
                continue;
        }
        const auto address = peer->m_peerAddress;
        auto changes = co_await m_exchange.fetch(address, kind, m_board.m_objects[kind].m_revision);
        if (changes)
            applyChanges(kind, mergeChanges(m_board.m_objects[kind], *changes));
    }
}

auto StoreSync::applyChanges(ObjectKind kind, const std::vector<ObjectChange>& changes) -> void
{
    for (const auto& change : changes) {
        if (change.m_removed)
            applyRemoval(kind, change.m_object.m_name);
        else
            applyObject(kind, change.m_object);
    }
    if (!changes.empty())
        m_board.m_capacityChanged();
}

auto StoreSync::applyObject(ObjectKind kind, const StoredObject& object) -> void
{
    switch (kind) {
    case ObjectKind::Configuration: {
        auto configuration = m_schema.m_readConfiguration(object.m_content);
        if (configuration)
            applyConfiguration(m_board, std::move(*configuration));
        else
            logWarning("configuration_unreadable", { { "object", object.m_name } });
        break;
    }
    case ObjectKind::Upstreams: {
        const auto record = m_schema.m_readUpstream(object.m_name, object.m_content);
        if (record) {
            applyUpstreamRecord(m_board.m_upstreams, *record, Clock::now());
            break;
        }
        logWarning("upstream_entry_unreadable", { { "upstream", object.m_name } });
        removeUpstream(m_board.m_upstreams, UpstreamName(object.m_name), Clock::now());
        break;
    }
    case ObjectKind::Evacuations:
        m_board.m_upstreams.m_evacuated[DataCentreName(object.m_name)] = true;
        logChange("data_centre_out", { { "data_centre", object.m_name } });
        break;
    case ObjectKind::AdapterVersions:
        if (const auto adapter = m_schema.m_readVersion(object.m_content))
            applyAdapterVersion(m_board.m_upstreams, *adapter, Clock::now());
        else
            logWarning("adapter_version_unreadable", { { "object", object.m_name } });
        break;
    }
}

auto StoreSync::applyRemoval(ObjectKind kind, const std::string& name) -> void
{
    if (kind == ObjectKind::Upstreams) {
        removeUpstreamAfterRecovery(name);
    } else if (kind == ObjectKind::Evacuations) {
        m_board.m_upstreams.m_evacuated.erase(DataCentreName(name));
        logChange("data_centre_back", { { "data_centre", name } });
    }
}

auto StoreSync::removeUpstreamAfterRecovery(const std::string& name) -> void
{
    const auto until = m_board.m_storeRecoveredAt + recoveryTime;
    if (Clock::now() >= until) {
        removeUpstream(m_board.m_upstreams, UpstreamName(name), Clock::now());
        return;
    }
    const auto time = std::chrono::duration_cast<Milliseconds>(until - Clock::now());
    runAfter(m_executor, time, [this, name] {
        if (!m_board.m_objects[ObjectKind::Upstreams].m_objects.contains(name))
            removeUpstream(m_board.m_upstreams, UpstreamName(name), Clock::now());
    });
}

} // namespace marigoldladder::relay
