#include "routing/upstream_choice.h"

#include "routing/rendezvous.h"

#include <algorithm>

namespace marigoldladder {

auto rankUpstreams(const UpstreamTable& table, const Configuration& configuration, const PoolName& pool,
    std::string_view affinityKey) -> std::vector<UpstreamName>
{
    struct Candidate {
        std::uint64_t m_weight;
        const Upstream* m_upstream;
    };
    auto candidates = std::vector<Candidate>();
    for (const auto& [name, upstream] : table.m_upstreams) {
        const auto vm = VmName(name.value());
        if (upstream.m_pool != pool || upstream.m_leaving || isOut(configuration, vm, upstream.m_dataCentre))
            continue;
        candidates.push_back({ rendezvousWeight(affinityKey, name.value()), &upstream });
    }
    std::sort(candidates.begin(), candidates.end(),
        [](const Candidate& left, const Candidate& right) { return left.m_weight > right.m_weight; });
    auto ranked = std::vector<UpstreamName>();
    for (const auto& candidate : candidates)
        ranked.push_back(candidate.m_upstream->m_name);
    return ranked;
}

} // namespace marigoldladder
