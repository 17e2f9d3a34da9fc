// The failures that are sent to callers, with the time after which they may come back.
#pragma once

#include "relay/request_attempts.h"

#include <random>
#include <string>

namespace marigoldladder::relay {

// Returns the failure of a request that wasn't run.
auto refusal(FailureType, std::string message, Milliseconds retryAfter) -> Failure;

// Returns the failure of a request that its organisation's allowance doesn't cover.
auto allowanceRefusal(const AllowanceDecision&) -> Failure;

// Returns the failure of a request that no upstream answered.
auto failureAfter(const RequestAttempts&, MonotonicTime deadline, MonotonicTime now, std::mt19937&)
    -> Failure;

} // namespace marigoldladder::relay
