#include "relay/adapter_demand.h"

#include <cmath>
#include <string_view>
#include <unordered_map>

namespace marigoldladder::relay {

namespace {

    constexpr auto decayTimeSeconds = 6.0; // A request counts for 1/e after this time.
    constexpr auto idleRatePerSecond = 0.004; // Reached about half a minute after a single request.

} // namespace

auto rateAt(const AdapterRate& rate, MonotonicTime now) -> double
{
    const auto age = std::chrono::duration<double>(now - rate.m_at).count();
    return rate.m_rate * std::exp(-std::max(age, 0.0) / decayTimeSeconds);
}

auto recordAdapterRequest(AdapterRates& rates, const std::string& adapter, MonotonicTime now) -> void
{
    auto& rate = rates[adapter];
    rate.m_rate = rateAt(rate, now) + 1.0 / decayTimeSeconds;
    rate.m_at = now;
}

auto eraseIdleAdapters(AdapterRates& rates, MonotonicTime now) -> void
{
    std::erase_if(rates, [&](const auto& entry) {
        return entry.second.m_waiting == 0 && entry.second.m_inFlight == 0
            && rateAt(entry.second, now) < idleRatePerSecond;
    });
}

auto totalDemand(const FleetDemand& demand, MonotonicTime now) -> std::vector<TotalAdapterDemand>
{
    auto totals = std::vector<TotalAdapterDemand>();
    auto indices = std::unordered_map<std::string_view, std::size_t>();
    for (const auto& [vm, rates] : demand.m_byNode) {
        for (const auto& [adapter, rate] : rates) {
            const auto [found, isNew] = indices.try_emplace(adapter, totals.size());
            if (isNew)
                totals.push_back(TotalAdapterDemand { adapter });
            auto& total = totals[found->second];
            total.m_rate += rateAt(rate, now);
            total.m_waiting += rate.m_waiting;
            total.m_inFlight += rate.m_inFlight;
        }
    }
    return totals;
}

} // namespace marigoldladder::relay
