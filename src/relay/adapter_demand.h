// Demand for adapters: request rates and counts at this node and over the fleet.
#pragma once

#include "core/blackboard.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace marigoldladder::relay {

// Requests for one adapter at one node. The rate is an exponentially decaying average.
struct AdapterRate {
    double m_rate = 0; // Requests per second at `m_at`.
    MonotonicTime m_at {};
    std::size_t m_waiting = 0; // Requests that wait for the adapter to be loaded.
    std::size_t m_inFlight = 0; // Requests that run on the adapter.
};

using AdapterRates = std::map<std::string, AdapterRate>; // By `model/adapter`.

// Adds one request to the adapter's rate.
auto recordAdapterRequest(AdapterRates&, const std::string& adapter, MonotonicTime now) -> void;

// Returns the rate decayed to `now`, in requests per second.
auto rateAt(const AdapterRate&, MonotonicTime now) -> double;

// Removes adapters whose rate has decayed to almost nothing and that have no waiting or running requests.
auto eraseIdleAdapters(AdapterRates&, MonotonicTime now) -> void;

// Demand for one adapter, summed over all nodes.
struct TotalAdapterDemand {
    std::string m_adapter; // `model/adapter`
    double m_rate = 0; // Requests per second.
    std::size_t m_waiting = 0;
    std::size_t m_inFlight = 0;
};

// The demand that each node reported. The holder of the order lease sums it.
struct FleetDemand {
    std::map<VmName, AdapterRates> m_byNode;
};

// Scope guard that counts a request as waiting for an adapter or running on it, depending on `count`.
// An empty adapter name is not counted.
class AdapterUse {
public:
    AdapterUse(AdapterRates& rates, const std::string& adapter, std::size_t AdapterRate::*count)
        : m_rates(rates)
        , m_adapter(adapter)
        , m_count(count)
    {
        if (!m_adapter.empty())
            ++(m_rates[m_adapter].*m_count);
    }
    ~AdapterUse()
    {
        if (!m_adapter.empty())
            --(m_rates[m_adapter].*m_count);
    }
    AdapterUse(const AdapterUse&) = delete;
    auto operator=(const AdapterUse&) -> AdapterUse& = delete;

private:
    AdapterRates& m_rates;
    std::string m_adapter;
    std::size_t AdapterRate::*m_count;
};

// Returns the demand of each adapter over all nodes, with the rates decayed to `now`.
auto totalDemand(const FleetDemand&, MonotonicTime now) -> std::vector<TotalAdapterDemand>;

} // namespace marigoldladder::relay
