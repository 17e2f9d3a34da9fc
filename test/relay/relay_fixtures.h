// Helpers shared by the tests of src/relay.
#pragma once

#include "relay/blackboard_updates.h"
#include "relay/upstream_choice.h"

#include <string>
#include <unistd.h>

namespace marigoldladder::relay {

// Returns the time this many seconds after a fixed start, which differs from the clock's zero.
inline auto at(double seconds) -> MonotonicTime
{
    constexpr auto start = 1'000.0;
    return MonotonicTime(
        std::chrono::duration_cast<MonotonicTime::duration>(std::chrono::duration<double>(start + seconds)));
}

// Returns a loopback address for a node, distinct per process since tests run in parallel.
inline auto loopbackHost(int node) -> std::string
{
    constexpr auto byteValues = 256;
    const auto process = ::getpid();
    return "127." + std::to_string(node) + "." + std::to_string(process / byteValues % byteValues) + "."
        + std::to_string(process % byteValues);
}

// Announces a version of an adapter: no request may begin on an older one after 5 s.
inline auto announce(UpstreamTable& table, const ListedAdapter& adapter, MonotonicTime now) -> void
{
    constexpr auto changeTime = Milliseconds(5'000);
    (void)announceVersion(table.m_versions, adapter, requiredFrom(now, changeTime), now);
}

// Returns a pool of engines with five adapter slots that run eight requests at once.
inline auto enginePool() -> Pool
{
    auto pool = Pool();
    pool.m_name = PoolName("engines");
    pool.m_coldRequestsPerSecond = 16;
    pool.m_engine = EnginePool { { { "model", 100, Milliseconds(1'400) } }, 4, 200, 5, 8, 10'000 };
    return pool;
}

inline auto configurationWith(const Pool& pool) -> RoutingConfiguration
{
    auto configuration = RoutingConfiguration();
    configuration.m_version = 1;
    configuration.m_pools[pool.m_name] = pool;
    return configuration;
}

// Returns an engine's record with the model and these adapters, at version 1, loaded.
inline auto engineRecord(const std::string& name, const std::vector<std::string>& adapters = {})
    -> UpstreamRecord
{
    auto record = UpstreamRecord();
    record.m_name = UpstreamName(name);
    record.m_pool = PoolName("engines");
    record.m_address = Address { "127.0.0.1", 9'000 };
    record.m_dataCentre = DataCentreName("here");
    record.m_slots = 8;
    record.m_models = { "model" };
    for (const auto& adapter : adapters)
        record.m_adapters.push_back({ "model/" + adapter, 1 });
    return record;
}

} // namespace marigoldladder::relay
