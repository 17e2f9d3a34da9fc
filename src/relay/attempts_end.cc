#include "relay/attempts_end.h"

namespace marigoldladder::relay {

auto formatEnd(std::optional<AttemptsEnd> end) -> std::string
{
    return end ? std::string(nameOf(attemptsEndNames, *end)) : "";
}

auto cutCounterOf(AttemptsEnd end) -> Counter
{
    switch (end) {
    case AttemptsEnd::NoUpstream:
        return Counter::StreamsCutWithoutUpstream;
    case AttemptsEnd::CrashSuspect:
        return Counter::StreamsCutAsSuspect;
    case AttemptsEnd::RetryBudgetSpent:
        return Counter::StreamsCutWithoutRetryBudget;
    case AttemptsEnd::NotRepeatable:
        return Counter::StreamsCutNotRepeatable;
    case AttemptsEnd::AttemptsSpent:
    case AttemptsEnd::RefusalsSpent:
        return Counter::StreamsCutAttemptsSpent;
    case AttemptsEnd::DeadlineReached:
        return Counter::StreamsCutAtDeadline;
    case AttemptsEnd::AwaitsUpstream:
    case AttemptsEnd::MemorySpent:
    case AttemptsEnd::Answered:
    case AttemptsEnd::CallerDisconnected:
        break;
    }
    return Counter::StreamsCutOtherwise;
}

} // namespace marigoldladder::relay
