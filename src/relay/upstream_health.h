// Judges an upstream's health by the results of the calls to it, since its own reports and health check may
// be wrong.
#pragma once

#include "relay/upstream.h"

namespace marigoldladder::relay {

// How long an upstream gets no requests after it refused a connection.
inline constexpr auto unreachableTime = Milliseconds(800);

enum class CallEnd {
    Answered, // With success, or with an error that doesn't count against the upstream.
    Failed, // With an error of the upstream.
    Broken, // The connection broke, or the answer was malformed.
    TimedOut, // No answer in time.
    NotReached, // The connection could not be established.
};

// Records how a call ended. An upstream that can't be reached or that times out is avoided at once, one that
// fails or breaks connections after a few times. Each avoidance in a row lasts twice as long.
auto recordCallEnd(UpstreamHealth&, CallEnd, MonotonicTime now) -> void;

// Whether the upstream refuses connections, as this node observed itself or two peers reported. One peer
// isn't enough, since that peer may be cut off itself.
auto isUnreachable(const UpstreamReachability&, MonotonicTime now) -> bool;

// Returns when an unreachable upstream may be tried again.
auto reachableAgainAt(const UpstreamReachability&) -> MonotonicTime;

} // namespace marigoldladder::relay
