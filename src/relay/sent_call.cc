#include "relay/sent_call.h"

namespace marigoldladder::relay {

auto isOpen(const HedgedCall& hedged) -> bool
{
    return !hedged.m_isAccepted && !hedged.m_outcome;
}

auto outcomeWithoutAnswer(const CallInProgress& call, bool timedOut) -> UpstreamCallOutcome
{
    if (call.isTakenBack())
        return UpstreamCallOutcome::TakenBack;
    return timedOut ? UpstreamCallOutcome::TimedOut : UpstreamCallOutcome::Broken;
}

} // namespace marigoldladder::relay
