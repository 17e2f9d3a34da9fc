#include "relay/stream_time.h"

namespace marigoldladder::relay {

namespace {

    constexpr auto startupTime = Milliseconds(1'500); // An adapter's load, the queue and the prompt.
    constexpr auto millisecondsPerToken = 12.0; // Milliseconds; an engine with a full batch takes half of it.
    constexpr auto defaultStreamTime = Milliseconds(5'000); // Of a stream whose size nobody states.

} // namespace

auto expectedStreamTime(bool hasTokenCounts, double outputTokens) -> Milliseconds
{
    if (!hasTokenCounts)
        return defaultStreamTime;
    return startupTime + Milliseconds(static_cast<std::int64_t>(outputTokens * millisecondsPerToken));
}

} // namespace marigoldladder::relay
