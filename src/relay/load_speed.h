// How fast the weight store brings adapters to engines.
#pragma once

#include "relay/routing_configuration.h"

#include <cstddef>

namespace marigoldladder::relay {

// Returns how many models the weight store brings to engines at a time before loads take longer.
auto modelsAtFullSpeed(const RoutingConfiguration&) -> std::size_t;

// Returns how many adapters may be on their way over all engines before loads take longer.
auto loadsAtFullSpeed(const RoutingConfiguration&) -> std::size_t;

// Returns how long a load takes while `loading` others are under way over all engines.
auto expectedLoadTime(std::size_t loading, std::size_t fullSpeed) -> Milliseconds;

// Returns how long the load of an adapter takes that the engine has lately held.
auto expectedReloadTime() -> Milliseconds;

} // namespace marigoldladder::relay
