// How fast the weight store brings adapters to engines.
#pragma once

#include "relay/routing_configuration.h"

#include <cstddef>

namespace marigoldladder::relay {

// Returns how many adapters may be on their way over all engines before loads take longer.
auto loadsAtFullSpeed(const RoutingConfiguration&) -> std::size_t;

// Returns how long a load takes while `loading` others are under way over all engines.
auto expectedLoadTime(std::size_t loading, std::size_t fullSpeed) -> Milliseconds;

} // namespace marigoldladder::relay
