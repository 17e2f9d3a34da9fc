#include "routing/popularity.h"

#include <algorithm>
#include <cmath>

namespace marigoldladder {

namespace {

    // Requests a second of one adapter that one replica takes before a second one is used.
    constexpr auto requestsPerSecondOfReplica = 3.0;
    constexpr auto maxReplicas = 16.0;

    // A replica is given up when the others would be at most this full.
    constexpr auto fullnessToShrink = 0.6;
    constexpr auto forgottenCount = 0.1;

    auto dropForgotten(PopularityTable& table, MonotonicTime now) -> void
    {
        std::erase_if(table.m_demands, [&](const auto& row) {
            return decayedTo(row.second.m_requests, popularityWindow, 0, now).m_count < forgottenCount;
        });
        if (table.m_demands.size() >= maxDemands)
            table.m_demands.clear();
    }

    auto replicasFor(double rate, double fullness) -> std::uint32_t
    {
        const auto replicas = std::ceil(rate / (requestsPerSecondOfReplica * fullness));
        return static_cast<std::uint32_t>(std::clamp(replicas, 1.0, maxReplicas));
    }

} // namespace

auto decayedTo(const DecayedCount& before, std::chrono::duration<double> window, double added,
    MonotonicTime now) -> DecayedCount
{
    const auto passed = std::chrono::duration<double>(now - before.m_at);
    return { before.m_count * std::exp(-passed / window) + added, now };
}

auto noteRequest(PopularityTable& table, std::uint64_t adapterHash, std::size_t entries, MonotonicTime now)
    -> std::uint32_t
{
    if (table.m_demands.size() >= maxDemands && !table.m_demands.contains(adapterHash))
        dropForgotten(table, now);
    auto& demand = table.m_demands[adapterHash];
    demand.m_requests = decayedTo(demand.m_requests, popularityWindow, 1, now);
    const auto seconds = std::chrono::duration<double>(popularityWindow).count();
    const auto rate = (demand.m_requests.m_count - 1) * static_cast<double>(entries) / seconds;
    const auto most = replicasFor(rate, fullnessToShrink);
    const auto least = replicasFor(rate, 1);
    demand.m_replicas = std::clamp(demand.m_replicas, least, most);
    return demand.m_replicas;
}

} // namespace marigoldladder
