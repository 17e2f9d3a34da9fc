#include "relay/software_watch.h"

#include "core/log.h"
#include "relay/rendezvous_hash.h"
#include "relay/stream_origins.h"
#include "relay/task.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr auto historyKind = "software"; // A kind of this project's own objects in the store.
    constexpr auto historyName = "history";
    constexpr auto writerSeed = std::uint64_t { 0x736f'6674'7761'7265 }; // Of the ranks that name the writer.

    constexpr auto watchInterval = Milliseconds(100);
    // A node that stood still for longer may have missed upstreams that came and went.
    constexpr auto longestWatchPause = Milliseconds(1'000);
    // Others may learn of new software while this node reaches the store neither by itself nor through a
    // peer.
    constexpr auto longestCutOff = Milliseconds(5'000);
    constexpr auto historyInterval = Milliseconds(250);
    // After the list of upstreams was read at the system's first start: by then nodes know each other, and
    // one of them has written.
    constexpr auto firstWriteTime = Milliseconds(1'000);
    constexpr auto firstReadTime = Milliseconds(2'500);
    constexpr auto readPause
        = Milliseconds(1'000); // Before it is read again, as it failed or doesn't tell all.

    auto rankOf(const VmName& vm) -> std::pair<std::uint64_t, VmName>
    {
        return { rendezvousRank(vm, writerSeed), vm };
    }

} // namespace

SoftwareWatch::SoftwareWatch(
    Executor executor, const RelaySettings& settings, RelayBoard& board, const ObjectStore& store)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_board(board)
    , m_store(store)
{
}

auto SoftwareWatch::start(NoLongerAlone noLongerAlone) -> void
{
    m_noLongerAlone = std::move(noLongerAlone);
    runLoop(m_executor, "software_watch", m_board.m_metrics, [this] { return watch(); });
    runLoop(m_executor, "software_history", m_board.m_metrics, [this] { return keepHistory(); });
}

auto SoftwareWatch::watch() -> Awaitable<void>
{
    for (;;) {
        updateWatch();
        updateAlone();
        co_await sleepFor(watchInterval);
    }
}

auto SoftwareWatch::updateWatch() -> void
{
    const auto now = Clock::now();
    if (reachesStore(now))
        m_storeReachedAt = now;
    if (stoodStill(now) || isCutOff(now) || !m_board.m_upstreams.m_known)
        m_watchedSince.reset();
    if (!m_watchedSince && m_board.m_upstreams.m_known)
        m_watchedSince = now;
    m_lastWatchAt = now;
    recordRoutes(m_routes, m_board.m_configuration, now);
}

auto SoftwareWatch::stoodStill(MonotonicTime now) const -> bool
{
    return m_lastWatchAt + longestWatchPause < now;
}

auto SoftwareWatch::reachesStore(MonotonicTime now) const -> bool
{
    return m_board.m_storeReachable || anyPeerReachesStore(m_board.m_fleet, now);
}

auto SoftwareWatch::isCutOff(MonotonicTime now) const -> bool
{
    return m_storeReachedAt + longestCutOff < now;
}

auto SoftwareWatch::watchedFor() const -> Milliseconds
{
    const auto now = Clock::now();
    if (!m_watchedSince || stoodStill(now) || isCutOff(now))
        return Milliseconds(0);
    return std::chrono::duration_cast<Milliseconds>(now - *m_watchedSince);
}

// The complete history that was read during this watch tells of all before it.
auto SoftwareWatch::knowsAll() const -> bool
{
    const auto watched = watchedFor();
    return watched >= streamLifetime || (watched.count() > 0 && m_completeDuring == m_watchedSince);
}

auto SoftwareWatch::seenSoftware() -> SoftwareByPool
{
    const auto& table = m_board.m_upstreams;
    if (m_changesSeen != table.m_softwareChanges) {
        m_changesSeen = table.m_softwareChanges;
        m_inUse = softwareInUse(table);
    }
    auto software = m_inUse;
    addFormerSoftware(software, table, Clock::now());
    return software;
}

auto SoftwareWatch::candidatesFor(const RoutePools& pools) -> std::vector<SoftwareId>
{
    const auto now = Clock::now();
    recordRoutes(m_routes, m_board.m_configuration, now);
    auto software = seenSoftware();
    if (watchedFor() < streamLifetime)
        addSoftware(software, m_everRead);
    auto candidates = std::set<SoftwareId>();
    for (const auto& pool : withFormerPools(m_routes, pools, now))
        candidates.insert(software[pool].begin(), software[pool].end());
    return { candidates.begin(), candidates.end() };
}

auto SoftwareWatch::isAlone(SoftwareId software) const -> bool
{
    return m_alone.contains(software);
}

auto SoftwareWatch::updateAlone() -> void
{
    auto alone = std::set<SoftwareId>();
    auto shared = std::set<SoftwareId>();
    const auto isCertain = knowsAll() && reachesStore(Clock::now());
    for (const auto& pools : m_routes.m_current) {
        const auto candidates = candidatesFor(pools);
        auto& all = candidates.size() == 1 && isCertain ? alone : shared;
        all.insert(candidates.begin(), candidates.end());
    }
    std::erase_if(alone, [&](SoftwareId software) { return shared.contains(software); });
    m_alone.swap(alone);
    for (const auto software : alone) {
        if (!m_alone.contains(software))
            m_noLongerAlone(software);
    }
}

auto SoftwareWatch::keepHistory() -> Awaitable<void>
{
    for (;;) {
        co_await sleepFor(historyInterval);
        if (!m_watchedSince || !reachesStore(Clock::now()))
            continue;
        if (mustReadHistory() && isReadDue())
            co_await readHistory();
        if (m_readDuring == m_watchedSince && isWriter())
            co_await writeHistory();
        if (mustReadHistory())
            co_await sleepFor(readPause);
    }
}

auto SoftwareWatch::mustReadHistory() const -> bool
{
    const auto isWanting = m_completeDuring != m_watchedSince && watchedFor() < streamLifetime;
    return m_readDuring != m_watchedSince || isWanting;
}

auto SoftwareWatch::isReadDue() const -> bool
{
    if (!m_settings.m_firstStart || m_firstReadAt != MonotonicTime())
        return true;
    return watchedFor() >= (isWriter() ? firstWriteTime : firstReadTime);
}

auto SoftwareWatch::readHistory() -> Awaitable<void>
{
    const auto watchedSince = *m_watchedSince;
    const auto found = co_await m_store.m_get(historyKind, historyName);
    applyRead(found, watchedSince);
}

auto SoftwareWatch::applyRead(const StoreResult<StoredObject>& found, MonotonicTime watchedSince) -> void
{
    const auto isMissing = !found && found.error().m_type == StoreFailureType::Conflict;
    if (!found && !isMissing)
        return;
    m_stored = isMissing ? std::nullopt : toHistory(found.value().m_content);
    m_storedRevision = isMissing ? StoreRevision() : found.value().m_revision;
    m_readDuring = watchedSince;
    // Nothing served before the first start of the system.
    const auto isFirst = isMissing && m_settings.m_firstStart && m_firstReadAt == MonotonicTime();
    if (m_firstReadAt == MonotonicTime())
        m_firstReadAt = Clock::now();
    const auto isComplete = m_stored && m_stored->m_isComplete && m_stored->m_era == m_storedRevision.m_era;
    if (isFirst || isComplete)
        m_completeDuring = watchedSince;
    if (m_stored)
        addSoftware(m_everRead, m_stored->m_software);
    logChange("software_history_read",
        { { "found", isMissing ? "no" : "yes" }, { "knows_all", knowsAll() ? "yes" : "no" },
            { "watched_ms", std::to_string(watchedFor().count()) } });
}

auto SoftwareWatch::isWriter() const -> bool
{
    const auto now = Clock::now();
    const auto& peers = m_board.m_fleet.m_peers;
    const auto self = rankOf(m_settings.m_vm);
    return m_board.m_fleet.m_membersRead && std::none_of(peers.begin(), peers.end(), [&](const auto& entry) {
        const auto& peer = entry.second;
        return isAlive(peer, now) && !peer.m_leaving && peer.m_storeReachable && rankOf(peer.m_vm) < self;
    });
}

auto SoftwareWatch::storeEra() const -> std::uint64_t
{
    return m_board.m_storeEra.value_or(firstEra);
}

auto SoftwareWatch::writeHistory() -> Awaitable<void>
{
    const auto readAgo = std::chrono::duration_cast<Milliseconds>(Clock::now() - m_firstReadAt);
    const auto next
        = nextHistory({ m_stored, seenSoftware(), knowsAll(), watchedFor(), readAgo, storeEra() });
    if (m_stored && next == *m_stored)
        co_return;
    auto object = StoredObject();
    object.m_name = historyName;
    object.m_revision = m_storedRevision;
    object.m_content = toJson(next);
    const auto creates = m_storedRevision == StoreRevision();
    auto call = creates ? m_store.m_create(historyKind, object) : m_store.m_replace(historyKind, object);
    const auto written = co_await std::move(call);
    if (!written) {
        m_readDuring = {}; // Another node may have written it, or the answer was lost.
        co_return;
    }
    m_stored = next;
    m_storedRevision = written.value().m_revision;
    if (next.m_isComplete && m_watchedSince)
        m_completeDuring = *m_watchedSince;
    logChange("software_history_written", { { "content", object.m_content.dump() } });
}

} // namespace marigoldladder::relay
