#include "routing/upstream_lookup.h"

namespace marigoldladder {

auto findUpstream(const Blackboard& blackboard, const UpstreamName& name) -> std::optional<Upstream>
{
    return blackboard.m_upstreams.read([&](const UpstreamTable& table) {
        const auto found = table.m_upstreams.find(name);
        return found == table.m_upstreams.end() ? std::nullopt : std::optional(found->second);
    });
}

} // namespace marigoldladder
