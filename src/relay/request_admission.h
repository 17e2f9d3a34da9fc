// Decides whether a request may be served, and finds its route, organisation, priority and deadline.
#pragma once

#include "relay/relay_board.h"
#include "relay/upstream_call.h"

namespace marigoldladder::relay {

// Sets in the call state what its configuration says of the request. Returns the organisation to which the
// request is charged, null if to none, or the refusal.
auto admit(CallState&, const RelayBoard&, MonotonicTime now) -> Result<const Organisation*>;

} // namespace marigoldladder::relay
