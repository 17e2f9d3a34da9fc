#include "relay/stream_time.h"

namespace marigoldladder::relay {

namespace {

    constexpr auto startTime = Milliseconds(1'500); // An adapter's load, the queue and the prompt.
    constexpr auto timePerToken = 12.0; // Milliseconds; an engine with a full batch takes half of it.
    constexpr auto unstatedTime = Milliseconds(5'000); // Of a stream whose size nobody states.

} // namespace

auto expectedStreamTime(bool statesTokens, double outputTokens) -> Milliseconds
{
    if (!statesTokens)
        return unstatedTime;
    return startTime + Milliseconds(static_cast<std::int64_t>(outputTokens * timePerToken));
}

} // namespace marigoldladder::relay
