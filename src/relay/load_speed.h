// Estimates of how fast engines load models and adapters from the weight store.
#pragma once

#include "relay/routing_configuration.h"

#include <cstddef>

namespace marigoldladder::relay {

// Returns how many models all engines together can load concurrently before loads take longer.
auto modelsAtFullSpeed(const RoutingConfiguration&) -> std::size_t;

// Returns how many adapters all engines together can load concurrently before loads take longer.
auto loadsAtFullSpeed(const RoutingConfiguration&) -> std::size_t;

// Returns the expected time of an adapter's load while `loading` others are under way over all engines.
// `fullSpeed`: as returned by `loadsAtFullSpeed`.
auto expectedLoadTime(std::size_t loading, std::size_t fullSpeed) -> Milliseconds;

// Returns the expected time of loading an adapter that the engine has cached since it unloaded it.
auto expectedReloadTime() -> Milliseconds;

} // namespace marigoldladder::relay
