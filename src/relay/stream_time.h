// Estimates how long a stream runs, so that a node that shuts down accepts none it would have to interrupt.
#pragma once

#include "relay/routing_configuration.h"

namespace marigoldladder::relay {

// Returns the time from a request's arrival within which nearly all streams of its size end.
// `hasTokenCounts`: the request states its number of tokens.
auto expectedStreamTime(bool hasTokenCounts, double outputTokens) -> Milliseconds;

} // namespace marigoldladder::relay
