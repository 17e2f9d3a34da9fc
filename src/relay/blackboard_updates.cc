#include "relay/blackboard_updates.h"

#include "core/log.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    // How old a listing may be when it arrives: an upstream's heartbeat, and the way to this node.
    constexpr auto listingAge = Milliseconds(4'000);

    constexpr auto reportValidity = Milliseconds(4'000); // A report counts for a few intervals between them.
    constexpr auto reportAge = Milliseconds(700); // How old an engine's report may be.
    constexpr auto pendingTime
        = Milliseconds(250); // Until an adapter on its way has arrived, at most, mostly.

    // A load may take longer than expected while many are under way.
    constexpr auto slowestLoad = Milliseconds(2'000);
    constexpr auto slowLoadPause = Milliseconds(60);
    constexpr auto mostRefusals = 5;

    // `toldSince`: what was learnt later than this goes before the listing.
    auto enterListedAdapters(
        Upstream& upstream, const std::vector<ListedAdapter>& adapters, MonotonicTime toldSince) -> void
    {
        for (auto& [key, presence] : upstream.m_adapters)
            presence.m_listed = false;
        for (const auto& adapter : adapters) {
            auto& presence = upstream.m_adapters[adapter.m_key];
            presence.m_listed = true;
            // What was learnt by an order since may be newer than the listing.
            const auto told = presence.m_toldAt > toldSince;
            if (told && (presence.m_dropped || presence.m_version >= adapter.m_version))
                continue;
            presence = AdapterPresence { adapter.m_version, {}, presence.m_toldAt, 0, true, false, true };
        }
        std::erase_if(upstream.m_adapters,
            [&](const auto& entry) { return !entry.second.m_listed && entry.second.m_toldAt <= toldSince; });
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
    const auto sameRun = upstream && upstream->m_record.m_address == record.m_address
        && upstream->m_record.m_startedAt == record.m_startedAt && upstream->m_record.m_pool == record.m_pool;
    if (!sameRun) {
        if (upstream)
            upstream->m_gone = true;
        upstream = std::make_shared<Upstream>();
        table.m_byShortId[shortId(record.m_name.value())] = upstream;
    }
    // A run that was leaving doesn't come back.
    const auto wasLeaving = sameRun && upstream->m_record.m_leaving;
    upstream->m_record = record;
    upstream->m_record.m_leaving = record.m_leaving || wasLeaving;
    if (record.m_coldLeft.count() > 0)
        upstream->m_coldUntil = now + record.m_coldLeft;
    // An entry may be old, if the upstream couldn't reach the store; what it told by itself goes before it.
    if (upstream->m_reportedAt == MonotonicTime() || upstream->m_reportedAt + reportValidity <= now)
        enterListedAdapters(*upstream, record.m_adapters, now - listingAge);
}

auto applyEngineReport(Upstream& upstream, const EngineReport& report, MonotonicTime askedAt) -> void
{
    upstream.m_reportedAt = askedAt;
    upstream.m_record.m_models = report.m_models;
    enterListedAdapters(upstream, report.m_adapters, askedAt - reportAge);
    for (const auto& adapter : report.m_pending) {
        auto& presence = upstream.m_adapters[adapter.m_key];
        const auto loading = presence.m_toldAt > askedAt - reportAge && !presence.m_dropped;
        if (!loading)
            presence
                = AdapterPresence { adapter.m_version, askedAt + pendingTime, askedAt, 0, true, false, true };
    }
}

auto removeUpstream(UpstreamTable& table, const UpstreamName& name) -> void
{
    const auto found = table.m_upstreams.find(name);
    if (found == table.m_upstreams.end())
        return;
    found->second->m_gone = true;
    table.m_byShortId.erase(shortId(name.value()));
    table.m_upstreams.erase(found);
}

auto applyAdapterVersion(UpstreamTable& table, const ListedAdapter& adapter, MonotonicTime now) -> void
{
    auto& newest = table.m_newestVersions[adapter.m_key];
    if (adapter.m_version <= newest)
        return;
    newest = adapter.m_version;
    table.m_announcedAt[adapter.m_key] = now;
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
    if (presence.m_toldAt + slowestLoad > now && ++presence.m_refusals <= mostRefusals) {
        presence.m_readyAt = now + slowLoadPause;
        return false;
    }
    markMissing(presence, now);
    return true;
}

auto markMissing(AdapterPresence& presence, MonotonicTime now) -> void
{
    presence.m_missing = true;
    presence.m_toldAt = now;
}

auto recordEvictionOrder(Upstream& upstream, const std::string& adapter, bool occupies, MonotonicTime now)
    -> void
{
    auto& presence = upstream.m_adapters[adapter];
    presence.m_toldAt = now;
    presence.m_dropped = true;
    presence.m_occupies = occupies;
}

} // namespace marigoldladder::relay
