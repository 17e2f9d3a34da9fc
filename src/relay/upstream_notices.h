// Applies what upstreams say of themselves in the heads of their answers.
#pragma once

#include "relay/dialect.h"
#include "relay/relay_board.h"

namespace marigoldladder::relay {

// Applies the notices of any answer.
auto applyNotices(RelayBoard&, Upstream&, const UpstreamNotices&, MonotonicTime now) -> void;

// Applies the notices of an answer to a caller's request that was sent at `sentAt`. Unlike those of other
// answers, one without a limit shows that the upstream no longer names one, or did so when the request was
// sent; so it is with brittle upstreams.
auto applyRequestAnswerNotices(
    RelayBoard&, Upstream&, const UpstreamNotices&, MonotonicTime sentAt, MonotonicTime now) -> void;

} // namespace marigoldladder::relay
