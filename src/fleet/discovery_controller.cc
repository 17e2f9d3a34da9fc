#include "fleet/discovery_controller.h"

#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto vmKind = "vms";

    auto readUpstream(const PlatformObject& object) -> std::optional<Upstream>
    {
        const auto& spec = object.m_spec;
        if (spec.value("role", "") != "upstream")
            return std::nullopt;
        const auto address = parseAddress(spec.value("address", ""));
        const auto kind = valueNamed(upstreamKindNames, spec.value("kind", ""));
        if (!address || !kind)
            return std::nullopt;
        auto upstream = Upstream();
        upstream.m_name = UpstreamName(object.m_name);
        upstream.m_pool = PoolName(spec.value("pool", ""));
        upstream.m_dataCentre = DataCentreName(spec.value("data_centre", ""));
        upstream.m_address = *address;
        upstream.m_kind = *kind;
        upstream.m_leaving = spec.value("state", "live") == "leaving";
        upstream.m_checksFencing = spec.value("checks_fencing", false);
        return upstream;
    }

} // namespace

auto refreshUpstreams(Blackboard& blackboard, PlatformClient& platform) -> Result<void>
{
    const auto list = platform.list(vmKind);
    if (!list)
        return list.error();
    auto table = UpstreamTable();
    for (const auto& object : list.value().m_objects) {
        if (auto upstream = readUpstream(object)) {
            auto name = upstream->m_name;
            table.m_upstreams.emplace(std::move(name), std::move(*upstream));
        }
    }
    blackboard.m_upstreams.write([&](UpstreamTable& value) { value = std::move(table); });
    return boost::outcome_v2::success();
}

} // namespace marigoldladder
