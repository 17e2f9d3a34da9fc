#include "relay/request_attempts.h"

namespace marigoldladder::relay {

namespace {

    constexpr auto maxUpstreamsTried = std::size_t { 4 }; // For a request that none of them runs.

    auto endAfterRefusal(const RequestAttempts& attempts, bool isLate) -> std::optional<AttemptsEnd>
    {
        if (attempts.m_needs.m_tried.size() >= maxUpstreamsTried)
            return AttemptsEnd::RefusalsSpent;
        return isLate ? std::optional(AttemptsEnd::DeadlineReached) : std::nullopt;
    }

    auto endAfterLostAnswer(const RequestAttempts& attempts, const Route& route, bool isLate)
        -> std::optional<AttemptsEnd>
    {
        if (isLate)
            return AttemptsEnd::DeadlineReached;
        if (!mayRetry(route))
            return AttemptsEnd::NotRepeatable;
        if (attempts.m_runs >= route.m_maxUpstreams)
            return AttemptsEnd::AttemptsSpent;
        return std::nullopt;
    }

} // namespace

auto countCall(RequestAttempts& attempts, UpstreamCallOutcome outcome, bool isLate) -> void
{
    switch (outcome) {
    case UpstreamCallOutcome::Refused:
        return;
    case UpstreamCallOutcome::NotReached:
    case UpstreamCallOutcome::NotSent:
        --attempts.m_sends;
        return;
    case UpstreamCallOutcome::TimedOut:
        attempts.m_timedOut = isLate;
        break;
    case UpstreamCallOutcome::Delivered:
    case UpstreamCallOutcome::Failed:
    case UpstreamCallOutcome::Broken:
    case UpstreamCallOutcome::Interrupted:
    case UpstreamCallOutcome::Moved:
    case UpstreamCallOutcome::NotNeeded:
    case UpstreamCallOutcome::NotKept:
    case UpstreamCallOutcome::TakenBack:
    case UpstreamCallOutcome::CallerDisconnected:
        break;
    }
    ++attempts.m_runs;
}

auto endAfter(const RequestAttempts& attempts, UpstreamCallOutcome outcome, const Route& route, bool isLate)
    -> std::optional<AttemptsEnd>
{
    switch (outcome) {
    case UpstreamCallOutcome::Delivered:
        return AttemptsEnd::Answered;
    case UpstreamCallOutcome::CallerDisconnected:
        return AttemptsEnd::CallerDisconnected;
    case UpstreamCallOutcome::Moved:
    case UpstreamCallOutcome::NotNeeded:
        return std::nullopt;
    case UpstreamCallOutcome::NotKept:
        return AttemptsEnd::MemorySpent;
    case UpstreamCallOutcome::Refused:
    case UpstreamCallOutcome::NotReached:
    case UpstreamCallOutcome::NotSent:
        return endAfterRefusal(attempts, isLate);
    case UpstreamCallOutcome::Failed:
    case UpstreamCallOutcome::Broken:
    case UpstreamCallOutcome::Interrupted:
    case UpstreamCallOutcome::TimedOut:
    case UpstreamCallOutcome::TakenBack:
        break;
    }
    return endAfterLostAnswer(attempts, route, isLate);
}

} // namespace marigoldladder::relay
