#include "relay/taken_up_stream.h"

#include "relay/route_history.h"
#include "relay/run_software.h"
#include "relay/upstream_choice.h"

#include <algorithm>

namespace marigoldladder::relay {

auto isTakenUp(const CallState& state) -> bool
{
    return mayBeTakenUp(*state.m_route) && !state.m_request.m_lastEventId.empty();
}

auto streamKeyOf(const CallState& state) -> std::optional<StreamKey>
{
    if (!mayBeTakenUp(*state.m_route))
        return std::nullopt;
    const auto& attempt = isTakenUp(state) ? state.m_request.m_resumedId : state.m_request.m_id;
    if (attempt.empty())
        return std::nullopt;
    return streamKeyOf(state.m_organisation, attempt);
}

auto neededSoftware(const CallState& state, const UpstreamTable& table) -> std::optional<SoftwareId>
{
    if (!state.m_origin)
        return std::nullopt;
    return resolveSoftware(table, *state.m_origin);
}

auto poolOfSoftware(const UpstreamTable& table, const Route& route, SoftwareId software)
    -> std::optional<PoolName>
{
    const auto pools = poolsOf(route);
    for (const auto& [name, upstream] : table.m_upstreams) {
        const auto& record = upstream->m_record;
        if (runsSoftware(*upstream, software) && acceptsNewRequests(table, *upstream)
            && pools.contains(record.m_pool))
            return record.m_pool;
    }
    return std::nullopt;
}

} // namespace marigoldladder::relay
