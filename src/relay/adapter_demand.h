// How often adapters are asked for, here and over the fleet.
#pragma once

#include "core/blackboard.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace marigoldladder::relay {

// Requests for one adapter at one node, each counting less the longer it is ago.
struct AdapterRate {
    double m_rate = 0; // Requests a second.
    MonotonicTime m_at {};
    std::size_t m_waiting = 0; // Requests that wait for it now.
    std::size_t m_inFlight = 0; // Requests that run on it now.
};

using AdapterRates = std::map<std::string, AdapterRate>; // By `model/adapter`.

// Counts a request.
auto recordAdapterRequest(AdapterRates&, const std::string& adapter, MonotonicTime now) -> void;

// Returns the rate at a later time.
auto rateAt(const AdapterRate&, MonotonicTime now) -> double;

// Drops adapters that were not asked for lately.
auto eraseIdleAdapters(AdapterRates&, MonotonicTime now) -> void;

// What the whole fleet wants of an adapter.
struct TotalAdapterDemand {
    std::string m_adapter;
    double m_rate = 0;
    std::size_t m_waiting = 0;
    std::size_t m_inFlight = 0;
};

// What each node told of its demand; the node that gives orders adds it up.
struct FleetDemand {
    std::map<VmName, AdapterRates> m_byNode;
};

// Counts a request that waits for an adapter, or runs on it, for as long as this exists.
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

auto totalDemand(const FleetDemand&, MonotonicTime now) -> std::vector<TotalAdapterDemand>;

} // namespace marigoldladder::relay
