#include "relay/load_speed.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    constexpr auto loadTime = Milliseconds(250); // Of one adapter, while the weight store is not crowded.
    constexpr auto reloadSpeed = 10; // Times that of a load from the weight store.
    constexpr auto loadMargin = Milliseconds(12); // In which the engine lists it.
    // Adapters on their way over all engines at full speed, more take longer in proportion: so many for each
    // model that the weight store loads at full speed, which is one for each part of its rate.
    constexpr auto adaptersForEachModel = std::size_t { 8 };
    constexpr auto modelRatePart = 4.2; // Loads of models a second.

} // namespace

auto modelsAtFullSpeed(const RoutingConfiguration& configuration) -> std::size_t
{
    auto rate = 0.0;
    for (const auto& [name, pool] : configuration.m_pools)
        rate = std::max(rate, pool.m_engine ? pool.m_engine->m_loadsPerSecond : 0.0);
    return std::max<std::size_t>(1, static_cast<std::size_t>(rate / modelRatePart));
}

auto loadsAtFullSpeed(const RoutingConfiguration& configuration) -> std::size_t
{
    return adaptersForEachModel * modelsAtFullSpeed(configuration);
}

auto expectedLoadTime(std::size_t loading, std::size_t fullSpeed) -> Milliseconds
{
    const auto crowding = std::max(1.0, static_cast<double>(loading + 1) / static_cast<double>(fullSpeed));
    return Milliseconds(static_cast<std::int64_t>(loadTime.count() * crowding)) + loadMargin;
}

auto expectedReloadTime() -> Milliseconds
{
    return loadTime / reloadSpeed + loadMargin;
}

} // namespace marigoldladder::relay
