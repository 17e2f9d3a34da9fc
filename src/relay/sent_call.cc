#include "relay/sent_call.h"

namespace marigoldladder::relay {

auto isOpen(const OfferedCall& offered) -> bool
{
    return !offered.m_isAccepted && !offered.m_outcome;
}

auto outcomeWithoutAnswer(const CallInProgress& call, bool timedOut) -> UpstreamCallOutcome
{
    if (call.isTakenBack())
        return UpstreamCallOutcome::TakenBack;
    return timedOut ? UpstreamCallOutcome::TimedOut : UpstreamCallOutcome::Broken;
}

} // namespace marigoldladder::relay
