#include "relay/request_failure.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    constexpr auto defaultRetryAfter = Milliseconds(1'000);

    // Callers that wait for the same upstreams return one after the other.
    auto retryAfter(const RequestAttempts& attempts, MonotonicTime now, std::mt19937& random) -> Milliseconds
    {
        if (attempts.m_lastOutcome != ChoiceOutcome::Paused)
            return defaultRetryAfter;
        const auto spread
            = Milliseconds(std::uniform_int_distribution<int>(1, defaultRetryAfter.count())(random));
        const auto wait = std::chrono::ceil<Milliseconds>(attempts.m_retryAt - now);
        return std::max(wait, Milliseconds(0)) + spread;
    }

} // namespace

auto refusal(FailureType type, std::string message, Milliseconds retryAfter) -> Failure
{
    auto failure = notRun(type, std::move(message));
    failure.m_retryAfter = retryAfter;
    return failure;
}

auto allowanceRefusal(const AllowanceDecision& decision) -> Failure
{
    if (decision.m_outcome == AllowanceOutcome::Unknown)
        return refusal(FailureType::Unavailable, "no node answered for the organisation's allowance",
            decision.m_retryAfter);
    return refusal(
        FailureType::AllowanceExceeded, "the organisation's allowance is spent", decision.m_retryAfter);
}

auto failureAfter(const RequestAttempts& attempts, MonotonicTime deadline, MonotonicTime now,
    std::mt19937& random) -> Failure
{
    const auto isLate = now >= deadline;
    if (attempts.m_runs > 0) {
        if (attempts.m_timedOut || isLate)
            return mayHaveRun(FailureType::DeadlineExceeded, "no upstream answered in time");
        return mayHaveRun(FailureType::UpstreamFailed, "the upstream's answer was lost");
    }
    if (attempts.m_refusal)
        return *attempts.m_refusal;
    if (attempts.m_lastOutcome == ChoiceOutcome::Chosen && isLate)
        return refusal(FailureType::Unavailable, "the deadline passed before the request could be sent",
            defaultRetryAfter);
    const auto outcome = std::string(nameOf(choiceOutcomeNames, attempts.m_lastOutcome));
    return refusal(FailureType::Unavailable, "no upstream could take the request: " + outcome,
        retryAfter(attempts, now, random));
}

} // namespace marigoldladder::relay
