// Judges upstreams by the answers they give, since their own word and their health check may be wrong.
#pragma once

#include "relay/upstream.h"

namespace marigoldladder::relay {

enum class CallEnd {
    Answered, // With success, or with a failure that upstreams give now and then.
    Failed, // With a failure of its own.
    Broken, // The connection broke, or the answer wasn't one.
    Silent, // No answer in time.
};

// Enters how a call ended. An upstream that breaks or keeps silent is avoided at once, one that fails often
// after a few failures; each time in a row for twice as long.
auto noteCallEnd(UpstreamHealth&, CallEnd, MonotonicTime now) -> void;

} // namespace marigoldladder::relay
