// Judges upstreams by the answers they give, since their own word and their health check may be wrong.
#pragma once

#include "relay/upstream.h"

namespace marigoldladder::relay {

// How long an upstream that refused a connection gets no request.
inline constexpr auto unreachableTime = Milliseconds(800);

enum class CallEnd {
    Answered, // With success, or with a failure that upstreams give now and then.
    Failed, // With a failure of its own.
    Broken, // The connection broke, or the answer wasn't one.
    TimedOut, // No answer in time.
    NotReached, // No connection came about.
};

// Enters how a call ended. An upstream that breaks or keeps silent is avoided at once, one that fails often
// after a few failures; each time in a row for twice as long.
auto recordCallEnd(UpstreamHealth&, CallEnd, MonotonicTime now) -> void;

// Whether nobody listens at the upstream, as far as this node was refused itself or two others told. One
// other is not enough, since that may be cut off itself.
auto isUnreachable(const UpstreamReachability&, MonotonicTime now) -> bool;

// Returns when an upstream that can't be reached may be tried again.
auto reachableAgainAt(const UpstreamReachability&) -> MonotonicTime;

} // namespace marigoldladder::relay
