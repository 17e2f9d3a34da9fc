// What a request needs of an upstream, by its route and its organisation.
#pragma once

#include "relay/upstream_call.h"
#include "relay/upstream_choice.h"

#include <random>

namespace marigoldladder::relay {

// Returns the needs of an admitted request, with a pool drawn from its route's by their weights.
// `organisation`: null if the request has none.
auto needsOf(const CallState&, const Organisation* organisation, std::mt19937&) -> UpstreamNeeds;

} // namespace marigoldladder::relay
