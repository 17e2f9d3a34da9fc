#include "fleet/drain.h"

namespace marigoldladder {

auto mayLeave(const DrainObservation& seen, std::chrono::milliseconds timeToLive) -> bool
{
    const auto expired = seen.m_elapsed >= drainNewsBound + timeToLive;
    const auto busy = seen.m_openRequests > 0 || seen.m_ownerCalls > 0;
    return expired && !busy && seen.m_quiet >= drainQuietTime;
}

} // namespace marigoldladder
