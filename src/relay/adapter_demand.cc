#include "relay/adapter_demand.h"

#include <cmath>
#include <string_view>
#include <unordered_map>

namespace marigoldladder::relay {

namespace {

    constexpr auto demandMemory = 6.0; // Seconds after which a request counts for 1/e.
    constexpr auto idleRate = 0.004; // Requests a second; about half a minute after a single request.

} // namespace

auto rateAt(const AdapterRate& rate, MonotonicTime now) -> double
{
    const auto age = std::chrono::duration<double>(now - rate.m_at).count();
    return rate.m_rate * std::exp(-std::max(age, 0.0) / demandMemory);
}

auto recordAdapterRequest(AdapterRates& rates, const std::string& adapter, MonotonicTime now) -> void
{
    auto& rate = rates[adapter];
    rate.m_rate = rateAt(rate, now) + 1.0 / demandMemory;
    rate.m_at = now;
}

auto eraseIdleAdapters(AdapterRates& rates, MonotonicTime now) -> void
{
    std::erase_if(rates, [&](const auto& entry) {
        return entry.second.m_waiting == 0 && entry.second.m_inFlight == 0
            && rateAt(entry.second, now) < idleRate;
    });
}

auto totalDemand(const FleetDemand& demand, MonotonicTime now) -> std::vector<TotalAdapterDemand>
{
    auto wishes = std::vector<TotalAdapterDemand>();
    auto numbers = std::unordered_map<std::string_view, std::size_t>();
    for (const auto& [vm, rates] : demand.m_byNode) {
        for (const auto& [adapter, rate] : rates) {
            const auto [found, isNew] = numbers.try_emplace(adapter, wishes.size());
            if (isNew)
                wishes.push_back(TotalAdapterDemand { adapter });
            auto& wish = wishes[found->second];
            wish.m_rate += rateAt(rate, now);
            wish.m_waiting += rate.m_waiting;
            wish.m_inFlight += rate.m_inFlight;
        }
    }
    return wishes;
}

} // namespace marigoldladder::relay
