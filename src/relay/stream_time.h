// How long a stream may run, so that a node that stops begins none that it would have to cut.
#pragma once

#include "relay/routing_configuration.h"

namespace marigoldladder::relay {

// Returns the longest time in which a stream ends, but for few, from its arrival here. `hasTokenCounts`: the
// caller said how many tokens it wants.
auto expectedStreamTime(bool hasTokenCounts, double outputTokens) -> Milliseconds;

} // namespace marigoldladder::relay
