#include "relay/load_speed.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    constexpr auto loadTime = Milliseconds(250); // Of one adapter, while the weight store is not saturated.
    constexpr auto reloadSpeedup = 10; // Compared with a load from the weight store.
    constexpr auto listingDelay = Milliseconds(12); // Until the engine lists the adapter.
    // The weight store loads at full speed one model for each 4.2 loads per second of its rate, and so many
    // adapters in place of a model. With more concurrent loads, each takes longer in proportion.
    constexpr auto adaptersPerModel = std::size_t { 8 };
    constexpr auto ratePerConcurrentModel = 4.2; // Model loads per second.

    // Bounds and steps of the observed share. A late load costs several requests an attempt, a load that
    // could have been started costs nothing unless adapters are waited for, so it falls faster than it rises.
    constexpr auto minShare = 0.5;
    constexpr auto lateFactor = 0.9;
    constexpr auto expectedStep = 0.01;

} // namespace

auto modelsAtFullSpeed(const RoutingConfiguration& configuration) -> std::size_t
{
    auto rate = 0.0;
    for (const auto& [name, pool] : configuration.m_pools)
        rate = std::max(rate, pool.m_engine ? pool.m_engine->m_loadsPerSecond : 0.0);
    return std::max<std::size_t>(1, static_cast<std::size_t>(rate / ratePerConcurrentModel));
}

auto loadsAtFullSpeed(const RoutingConfiguration& configuration) -> std::size_t
{
    return adaptersPerModel * modelsAtFullSpeed(configuration);
}

auto recordLoadEnd(LoadSpeed& speed, LoadEnd end) -> void
{
    speed.m_share = end == LoadEnd::Late ? std::max(minShare, speed.m_share * lateFactor)
                                         : std::min(1.0, speed.m_share + expectedStep);
}

auto observedLoadsAtFullSpeed(const RoutingConfiguration& configuration, const LoadSpeed& speed)
    -> std::size_t
{
    const auto loads = static_cast<double>(loadsAtFullSpeed(configuration)) * speed.m_share;
    return std::max(adaptersPerModel, static_cast<std::size_t>(loads));
}

auto expectedLoadTime(std::size_t loading, std::size_t fullSpeed) -> Milliseconds
{
    const auto slowdown = std::max(1.0, static_cast<double>(loading + 1) / static_cast<double>(fullSpeed));
    return Milliseconds(static_cast<std::int64_t>(loadTime.count() * slowdown)) + listingDelay;
}

auto expectedReloadTime() -> Milliseconds
{
    return loadTime / reloadSpeedup + listingDelay;
}

} // namespace marigoldladder::relay
