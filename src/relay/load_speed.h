// Estimates of how fast engines load models and adapters from the weight store.
#pragma once

#include "relay/routing_configuration.h"

#include <cstddef>

namespace marigoldladder::relay {

// Returns how many models all engines together can load concurrently before loads take longer.
auto modelsAtFullSpeed(const RoutingConfiguration&) -> std::size_t;

// Returns how many adapters all engines together can load concurrently before loads take longer.
auto loadsAtFullSpeed(const RoutingConfiguration&) -> std::size_t;

// What this node observed of the ends of loads. The configuration does not say how many loads the weight
// store carries at full speed, and an estimate that is too high makes requests come before their adapter is
// there.
struct LoadSpeed {
    double m_share = 2.0 / 3; // Of `loadsAtFullSpeed`, the loads that end in their expected time.
};

enum class LoadEnd {
    AsExpected, // A request found the adapter at the expected end of its load.
    Late, // The engine was still loading it.
};

auto recordLoadEnd(LoadSpeed&, LoadEnd) -> void;

// Returns how many adapters may be loaded concurrently by what was observed, at most `loadsAtFullSpeed`.
auto observedLoadsAtFullSpeed(const RoutingConfiguration&, const LoadSpeed&) -> std::size_t;

// Returns the expected time of an adapter's load while `loading` others are under way over all engines.
// `fullSpeed`: as returned by `observedLoadsAtFullSpeed`.
auto expectedLoadTime(std::size_t loading, std::size_t fullSpeed) -> Milliseconds;

// Returns the expected time of loading an adapter that the engine has cached since it unloaded it.
auto expectedReloadTime() -> Milliseconds;

} // namespace marigoldladder::relay
