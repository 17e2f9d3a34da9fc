#include "relay/blackboard_updates.h"

#include "core/log.h"

#include <algorithm>
#include <utility>

namespace marigoldladder::relay {

namespace {

    // Oldest age of a listing at its arrival: an upstream's heartbeat interval, and the propagation to this
    // node.
    constexpr auto maxListingAge = Milliseconds(4'000);

    constexpr auto entryRenewalTime
        = Milliseconds(5'000); // In which an upstream that started anew renews it.

    constexpr auto reportValidity = Milliseconds(4'000); // A few report intervals.
    constexpr auto maxReportAge = Milliseconds(700);
    // Usual upper bound of the time until an adapter that is being loaded is ready.
    constexpr auto pendingLoadTime = Milliseconds(250);

    constexpr auto removedRetention = std::chrono::minutes(10); // Longer than outages of the store last.
    constexpr auto maxDrainTime = Milliseconds(12'000); // Longer than nearly all streams.

    // A load may take longer than expected while many are in progress.
    constexpr auto maxLoadTime = Milliseconds(2'000);
    constexpr auto minLoadRetryDelay = Milliseconds(60);
    constexpr auto maxRefusals = 5;
    constexpr auto minStoreLoadTime = Milliseconds(150); // Loads of cached adapters are much faster.
    constexpr auto loadTestTime = Milliseconds(60); // After the expected end of a load.

    // Whether the engine waits for the adapter's requests to end and then unloads it.
    auto isDraining(const AdapterPresence& presence, MonotonicTime now) -> bool
    {
        return presence.m_evicted && presence.m_occupiesSlot && presence.m_learntAt + maxDrainTime > now;
    }

    // Orders and refusals recorded after `listedAfter`, the listing's earliest time, override the listing.
    auto applyListedAdapters(
        Upstream& upstream, const std::vector<ListedAdapter>& adapters, MonotonicTime listedAfter) -> void
    {
        for (auto& [key, presence] : upstream.m_adapters)
            presence.m_listed = false;
        for (const auto& adapter : adapters) {
            auto& presence = upstream.m_adapters[adapter.m_key];
            presence.m_listed = true;
            // An order or refusal recorded since may be newer than the listing.
            const auto overrides = presence.m_learntAt > listedAfter;
            if (overrides && (presence.m_evicted || presence.m_version >= adapter.m_version))
                continue;
            presence = AdapterPresence { adapter.m_version, {}, presence.m_learntAt, 0, true, false, true };
        }
        std::erase_if(upstream.m_adapters, [&](const auto& entry) {
            return !entry.second.m_listed && entry.second.m_learntAt <= listedAfter;
        });
    }

    // Returns the state of an adapter that the engine reports as loading; an order recorded lately tells when
    // it will be ready.
    auto loadingPresence(const Upstream& upstream, const ListedAdapter& adapter, MonotonicTime requestedAt)
        -> AdapterPresence
    {
        const auto known = upstream.m_adapters.find(adapter.m_key);
        const auto wasOrdered = known != upstream.m_adapters.end() && !known->second.m_evicted
            && known->second.m_learntAt > requestedAt - maxReportAge;
        if (wasOrdered)
            return known->second;
        return { adapter.m_version, requestedAt + pendingLoadTime, requestedAt, 0, true, false, true };
    }

    auto isSameRun(const UpstreamRecord& left, const UpstreamRecord& right) -> bool
    {
        return left.m_address == right.m_address && left.m_startedAt == right.m_startedAt
            && left.m_pool == right.m_pool;
    }

    // Keeps that the record's software has served until now.
    auto noteFormerSoftware(UpstreamTable& table, const UpstreamRecord& record, MonotonicTime now) -> void
    {
        std::erase_if(table.m_formerSoftware,
            [&](const auto& entry) { return entry.second.m_goneAt + removedRetention <= now; });
        table.m_formerSoftware[record.m_software] = { record.m_pool, now };
    }

    auto servesAlike(const UpstreamRecord& left, const UpstreamRecord& right) -> bool
    {
        return left.m_pool == right.m_pool && left.m_software == right.m_software;
    }

    // Returns the upstream of a run whose entry returns; null if it wasn't removed lately.
    auto takeRemoved(UpstreamTable& table, const UpstreamRecord& record) -> UpstreamPointer
    {
        const auto found = table.m_removedLately.find(record.m_name);
        if (found == table.m_removedLately.end())
            return nullptr;
        auto upstream = std::move(found->second);
        table.m_removedLately.erase(found);
        if (!isSameRun(upstream->m_record, record))
            return nullptr;
        upstream->m_removed = false;
        return upstream;
    }

} // namespace

auto applyConfiguration(RelayBoard& board, RoutingConfiguration configuration) -> bool
{
    if (board.m_configuration && configuration.m_version <= board.m_configuration->m_version)
        return false;
    logChange("configuration_in_force", { { "version", std::to_string(configuration.m_version) } });
    board.m_configuration = std::make_shared<const RoutingConfiguration>(std::move(configuration));
    return true;
}

auto applyUpstreamRecord(UpstreamTable& table, const UpstreamRecord& record, MonotonicTime now) -> void
{
    auto& upstream = table.m_upstreams[record.m_name];
    const auto wasListed = upstream != nullptr;
    if (!wasListed)
        upstream = takeRemoved(table, record);
    const auto sameRun = upstream && isSameRun(upstream->m_record, record);
    if (!wasListed || !servesAlike(upstream->m_record, record))
        ++table.m_softwareChanges;
    if (upstream && upstream->m_record.m_software != record.m_software)
        noteFormerSoftware(table, upstream->m_record, now);
    if (!sameRun) {
        if (upstream)
            upstream->m_removed = true;
        upstream = std::make_shared<Upstream>();
    }
    table.m_byShortId[shortId(record.m_name.value())] = upstream;
    // A run that has started to leave never becomes available again.
    const auto wasLeaving = sameRun && upstream->m_record.m_leaving;
    upstream->m_record = record;
    upstream->m_record.m_leaving = record.m_leaving || wasLeaving;
    if (record.m_coldLeft.count() > 0)
        upstream->m_coldUntil = now + record.m_coldLeft;
    // An entry may be old if the upstream can't reach the store; a recent report overrides its listing.
    if (upstream->m_reportedAt == MonotonicTime() || upstream->m_reportedAt + reportValidity <= now)
        applyListedAdapters(*upstream, record.m_adapters, now - maxListingAge);
}

auto applyCopiedRecord(Upstream& upstream, const UpstreamRecord& record, MonotonicTime now) -> void
{
    upstream.m_record.m_leaving = upstream.m_record.m_leaving || record.m_leaving;
    if (record.m_coldLeft.count() > 0)
        upstream.m_coldUntil = std::max(upstream.m_coldUntil, now + record.m_coldLeft);
}

auto knowledgeOf(const UpstreamTable& table, const UpstreamRecord& record) -> RunKnowledge
{
    const auto isOf = [&](const auto& upstreams) {
        const auto found = upstreams.find(record.m_name);
        return found != upstreams.end() && found->second && isSameRun(found->second->m_record, record);
    };
    if (isOf(table.m_upstreams))
        return RunKnowledge::Listed;
    return isOf(table.m_removedLately) ? RunKnowledge::Removed : RunKnowledge::Unknown;
}

auto recordNobodyListens(Upstream& upstream, MonotonicTime now) -> void
{
    upstream.m_mayHaveRestarted = true;
    upstream.m_inDoubtUntil = now + entryRenewalTime;
}

auto recordAccepted(Upstream& upstream, const Pool* pool, MonotonicTime now) -> bool
{
    if (!std::exchange(upstream.m_mayHaveRestarted, false))
        return false;
    if (pool)
        upstream.m_coldUntil = std::max(upstream.m_coldUntil, now + pool->m_coldTime);
    return true;
}

auto applyEngineReport(
    Upstream& upstream, const EngineReport& report, MonotonicTime requestedAt, ReportedState state) -> void
{
    const auto listedAfter = state == ReportedState::Exact ? requestedAt : requestedAt - maxReportAge;
    auto keptStates = std::vector<std::pair<std::string, AdapterPresence>>();
    for (const auto& adapter : report.m_pending)
        keptStates.emplace_back(adapter.m_key, loadingPresence(upstream, adapter, requestedAt));
    for (const auto& adapter : report.m_adapters) {
        const auto known = upstream.m_adapters.find(adapter.m_key);
        if (known != upstream.m_adapters.end() && isDraining(known->second, requestedAt))
            keptStates.emplace_back(known->first, known->second);
    }
    upstream.m_reportedAt = requestedAt;
    upstream.m_record.m_models = report.m_models;
    upstream.m_cachedModels = report.m_cachedModels;
    applyListedAdapters(upstream, report.m_adapters, listedAfter);
    for (const auto& [key, presence] : keptStates)
        upstream.m_adapters[key] = presence;
}

auto removeUpstream(UpstreamTable& table, const UpstreamName& name, MonotonicTime now) -> void
{
    const auto found = table.m_upstreams.find(name);
    if (found == table.m_upstreams.end())
        return;
    found->second->m_removed = true;
    found->second->m_removedAt = now;
    ++table.m_softwareChanges;
    noteFormerSoftware(table, found->second->m_record, now);
    std::erase_if(table.m_removedLately,
        [&](const auto& entry) { return entry.second->m_removedAt + removedRetention <= now; });
    table.m_removedLately[name] = found->second;
    table.m_byShortId.erase(shortId(name.value()));
    table.m_upstreams.erase(found);
}

auto recordLoadOrder(
    Upstream& upstream, const ListedAdapter& adapter, MonotonicTime readyAt, MonotonicTime now) -> void
{
    auto& presence = upstream.m_adapters[adapter.m_key];
    presence = AdapterPresence { adapter.m_version, readyAt, now, 0, presence.m_listed, false, true };
}

auto recordAdapterRefusal(Upstream& upstream, const std::string& adapter, MonotonicTime now) -> bool
{
    const auto found = upstream.m_adapters.find(adapter);
    if (found == upstream.m_adapters.end())
        return false;
    auto& presence = found->second;
    if (presence.m_learntAt + maxLoadTime > now && ++presence.m_refusals <= maxRefusals) {
        // The longer the load has taken, the longer it may still take.
        const auto elapsed = std::chrono::duration_cast<Milliseconds>(now - presence.m_learntAt);
        presence.m_readyAt = now + std::max(minLoadRetryDelay, elapsed / 2);
        return false;
    }
    markMissing(presence, now);
    return true;
}

auto isAtExpectedLoadEnd(const Upstream& upstream, const std::string& adapter, MonotonicTime now) -> bool
{
    const auto found = upstream.m_adapters.find(adapter);
    if (found == upstream.m_adapters.end())
        return false;
    const auto& presence = found->second;
    const auto fromStore = presence.m_readyAt - presence.m_learntAt >= minStoreLoadTime;
    return fromStore && !presence.m_listed && presence.m_refusals == 0 && presence.m_readyAt <= now
        && presence.m_readyAt + loadTestTime > now;
}

auto adapterRefusals(const Upstream& upstream, const std::string& adapter) -> int
{
    const auto found = upstream.m_adapters.find(adapter);
    return found == upstream.m_adapters.end() ? 0 : found->second.m_refusals;
}

auto markMissing(AdapterPresence& presence, MonotonicTime now) -> void
{
    presence.m_missing = true;
    presence.m_learntAt = now;
}

auto recordEvictionOrder(Upstream& upstream, const std::string& adapter, bool occupies, MonotonicTime now)
    -> void
{
    auto& presence = upstream.m_adapters[adapter];
    presence.m_learntAt = now;
    presence.m_evicted = true;
    presence.m_occupiesSlot = occupies;
}

} // namespace marigoldladder::relay
