#include "relay/stream_time.h"

namespace marigoldladder::relay {

namespace {

    constexpr auto startupTime
        = Milliseconds(1'500); // Loading the adapter, queueing and processing the prompt.
    constexpr auto millisecondsPerToken = 12.0; // Twice the time of an engine with a full batch.
    constexpr auto defaultStreamTime = Milliseconds(5'000); // For requests without token counts.

} // namespace

auto expectedStreamTime(bool hasTokenCounts, double outputTokens) -> Milliseconds
{
    if (!hasTokenCounts)
        return defaultStreamTime;
    return startupTime + Milliseconds(static_cast<std::int64_t>(outputTokens * millisecondsPerToken));
}

} // namespace marigoldladder::relay
