#include "relay/run_software.h"

#include <algorithm>
#include <xxhash.h>

namespace marigoldladder::relay {

namespace {

    auto runOf(const UpstreamRecord& record) -> SoftwareId
    {
        return softwareOfRun(record.m_name, record.m_startedAt);
    }

} // namespace

auto softwareOfRun(const UpstreamName& name, std::uint64_t startedAt) -> SoftwareId
{
    const auto id = XXH3_64bits_withSeed(name.value().data(), name.value().size(), startedAt);
    return std::max<SoftwareId>(id, 1); // 0 stands for an unknown one in messages.
}

auto resolveSoftware(const UpstreamTable& table, SoftwareId software) -> SoftwareId
{
    for (const auto* upstreams : { &table.m_upstreams, &table.m_removedLately }) {
        for (const auto& [name, upstream] : *upstreams) {
            if (upstream->m_record.m_software == software)
                return software;
            if (runOf(upstream->m_record) == software)
                return upstream->m_record.m_software;
        }
    }
    return software;
}

} // namespace marigoldladder::relay
