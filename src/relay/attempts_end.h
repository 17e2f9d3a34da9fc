// Why a request is not sent to a further upstream.
#pragma once

#include "core/metrics.h"
#include "marigoldladder/enum_names.h"

#include <array>
#include <optional>
#include <string>

namespace marigoldladder::relay {

enum class AttemptsEnd {
    Answered, // The caller received the whole answer.
    CallerDisconnected,
    NoUpstream, // None had room in time.
    AwaitsUpstream, // A further one was asked and hasn't answered yet.
    CrashSuspect, // It may crash upstreams.
    RetryBudgetSpent,
    NotRepeatable, // The route allows no second run.
    AttemptsSpent, // As many upstreams as the route allows may have run it.
    RefusalsSpent, // As many upstreams as are tried at most refused it or were not reached.
    DeadlineReached,
    MemorySpent, // Too little is left to keep an answer.
};

inline constexpr auto attemptsEndNames = std::array {
    EnumName<AttemptsEnd> { AttemptsEnd::Answered, "answered" },
    EnumName<AttemptsEnd> { AttemptsEnd::CallerDisconnected, "caller_gone" },
    EnumName<AttemptsEnd> { AttemptsEnd::NoUpstream, "no_upstream" },
    EnumName<AttemptsEnd> { AttemptsEnd::AwaitsUpstream, "awaits_upstream" },
    EnumName<AttemptsEnd> { AttemptsEnd::CrashSuspect, "crash_suspect" },
    EnumName<AttemptsEnd> { AttemptsEnd::RetryBudgetSpent, "retry_budget_spent" },
    EnumName<AttemptsEnd> { AttemptsEnd::NotRepeatable, "not_repeatable" },
    EnumName<AttemptsEnd> { AttemptsEnd::AttemptsSpent, "attempts_spent" },
    EnumName<AttemptsEnd> { AttemptsEnd::RefusalsSpent, "refusals_spent" },
    EnumName<AttemptsEnd> { AttemptsEnd::DeadlineReached, "deadline_reached" },
    EnumName<AttemptsEnd> { AttemptsEnd::MemorySpent, "memory_spent" },
};

// Returns the reason's name for a log line; empty if there is none.
auto formatEnd(std::optional<AttemptsEnd>) -> std::string;

// Returns the counter of answers that stay incomplete for this reason.
auto cutCounterOf(AttemptsEnd) -> Counter;

} // namespace marigoldladder::relay
