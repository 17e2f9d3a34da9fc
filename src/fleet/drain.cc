#include "fleet/drain.h"

namespace marigoldladder {

auto drainStep(const DrainObservation& seen, std::chrono::milliseconds timeToLive) -> DrainStep
{
    if (seen.m_elapsed < drainNewsBound + timeToLive)
        return DrainStep::ServeOn;
    const auto busy = seen.m_openRequests > 0 || seen.m_ownerCalls > 0;
    return busy || seen.m_quiet < drainQuietTime ? DrainStep::CloseListener : DrainStep::Leave;
}

} // namespace marigoldladder
