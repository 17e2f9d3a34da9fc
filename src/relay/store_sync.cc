#include "relay/store_sync.h"

#include "core/log.h"
#include "relay/task.h"

#include <algorithm>

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
    constexpr auto historyLossInterval = Milliseconds(1'000); // A second loss in this time is retried later.
    constexpr auto probeInterval = Milliseconds(1'000);
    constexpr auto peerPollInterval = Milliseconds(60);
    // Time after the start by which a node of a large fleet has received its peers' summaries, and so knows
    // whether it should watch.
    constexpr auto peerDiscoveryTime = Milliseconds(500);
    // Longest delay before a fetch from another data centre: a peer in this one may receive the change by
    // then.
    constexpr auto maxRemoteFetchDelayMs = 80;

    // Between two fetches of a configuration whose revision isn't later than this node's.
    constexpr auto versionFetchInterval = Milliseconds(1'000);

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
    const ObjectStore& store, const ObjectSchema& schema, CacheExchange& exchange)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_board(board)
    , m_store(store)
    , m_schema(withRecordedExceptions(schema, board.m_metrics))
    , m_exchange(exchange)
    , m_random(std::random_device()())
{
    for (const auto kind : objectKinds)
        m_rules[kind] = rulesOf(m_schema, kind);
}

auto StoreSync::start() -> void
{
    m_startedAt = Clock::now();
    for (const auto kind : objectKinds) {
        const auto name = kindName(m_schema, kind);
        runLoop(m_executor, "store " + name, m_board.m_metrics, [this, kind] { return follow(kind); });
        runLoop(m_executor, "peers' " + name, m_board.m_metrics, [this, kind] { return followPeers(kind); });
    }
}

auto StoreSync::hasAllKinds() const -> bool
{
    return std::all_of(objectKinds.begin(), objectKinds.end(), [this](ObjectKind kind) {
        const auto found = m_board.m_objects.find(kind);
        return found != m_board.m_objects.end() && found->second.m_revision.m_revision > 0;
    });
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
    const auto unknown = found == m_board.m_objects.end() || found->second.m_revision == StoreRevision();
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
    const auto unknown = found == m_board.m_objects.end() || found->second.m_revision == StoreRevision();
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
            auto listing = co_await m_store.m_list(kindName(m_schema, kind), requiredListingAge(kind));
            if (!listing) {
                recordReachability(false);
                co_await sleepFor(backoff());
                break;
            }
            recordReachability(true);
            mergeStoreListing(kind, listing.value());
            watchFailed = co_await watchWhileAssigned(kind);
        }
    }
}

auto StoreSync::isListingDue(ObjectKind kind) const -> bool
{
    const auto due = m_nextListingAt.find(kind);
    return due != m_nextListingAt.end() && Clock::now() >= due->second;
}

// A watch ends when the kind is to be listed again.
auto StoreSync::watchTimeoutOf(ObjectKind kind) const -> Milliseconds
{
    const auto timeout = kind == ObjectKind::Upstreams ? upstreamWatchTimeout : watchTimeout;
    const auto due = m_nextListingAt.find(kind);
    if (due == m_nextListingAt.end())
        return timeout;
    return std::min(timeout, std::chrono::ceil<Milliseconds>(due->second - Clock::now()));
}

auto StoreSync::watchWhileAssigned(ObjectKind kind) -> Awaitable<bool>
{
    auto& cache = m_board.m_objects[kind];
    while (Clock::now() < m_startedAt + peerDiscoveryTime && !isKnownSmallFleet())
        co_await sleepFor(peerPollInterval);
    while (mustWatchStore(kind)) {
        if (isListingDue(kind))
            co_return true;
        const auto timeout = watchTimeoutOf(kind);
        const auto begun = Clock::now();
        auto changes = co_await m_store.m_watch(kindName(m_schema, kind), cache.m_revision, timeout);
        if (!changes) {
            // A watch from a revision whose history is gone may hang instead of failing, so the kind is
            // listed again after any failure.
            const auto isHistoryLost = changes.error().m_type == StoreFailureType::HistoryLost;
            const auto mustBackOff = !isHistoryLost || m_historyLostAt[kind] + historyLossInterval > begun;
            if (isHistoryLost)
                m_historyLostAt[kind] = begun;
            const auto timedOut = Clock::now() - begun >= timeout;
            if (timedOut && changes.error().m_type == StoreFailureType::Unavailable)
                markStoreUnreachable();
            logChange("store_watch_ended",
                { { "kind", kindName(m_schema, kind) }, { "reason", changes.error().m_message } });
            if (mustBackOff)
                co_await sleepFor(backoff());
            co_return true;
        }
        recordReachability(true);
        const auto update
            = CacheChanges { std::move(changes.value().m_changes), changes.value().m_revision, false };
        mergeUpdate(kind, update);
        if (kind != ObjectKind::Upstreams && !update.m_changes.empty())
            m_board.m_storeChangeReceived();
        const auto pause = watchPause(kind, m_settings.m_bounds);
        if (pause.count() > 0)
            co_await sleepFor(pause);
    }
    co_return false;
}

auto StoreSync::peerWithNews(ObjectKind kind) -> const Peer*
{
    const auto revision = m_board.m_objects[kind].m_revision;
    return peerWithNewerObjects(
        m_board.m_fleet, kind, revision, m_settings.m_dataCentre, m_random(), Clock::now());
}

auto StoreSync::fetchFrom(const Peer& peer, ObjectKind kind, StoreRevision after) -> Awaitable<void>
{
    const auto address = peer.m_peerAddress;
    const auto changes = co_await m_exchange.fetch(address, kind, after);
    if (changes)
        mergeUpdate(kind, *changes);
}

auto StoreSync::followPeers(ObjectKind kind) -> Awaitable<void>
{
    for (;;) {
        co_await sleepFor(peerPollInterval);
        const auto* peer = peerWithNews(kind);
        if (!peer) {
            if (kind == ObjectKind::Configuration)
                co_await fetchNewerConfiguration();
            continue;
        }
        if (peer->m_dataCentre != m_settings.m_dataCentre) {
            const auto delay = std::uniform_int_distribution<int>(0, maxRemoteFetchDelayMs)(m_random);
            co_await sleepFor(Milliseconds(delay));
            peer = peerWithNews(kind);
            if (!peer)
                continue;
        }
        co_await fetchFrom(*peer, kind, m_board.m_objects[kind].m_revision);
    }
}

// Fetches a configuration that a peer has in force though it has no later revision of the store: a restored
// store has an older one, which this node read when it started.
auto StoreSync::fetchNewerConfiguration() -> Awaitable<void>
{
    const auto now = Clock::now();
    const auto version = configurationVersion(m_board);
    const auto* peer = peerWithNewerConfiguration(m_board.m_fleet, version, now);
    if (!peer || now < m_nextVersionFetchAt)
        co_return;
    m_nextVersionFetchAt = now + versionFetchInterval;
    co_await fetchFrom(*peer, ObjectKind::Configuration, StoreRevision());
}

} // namespace marigoldladder::relay
