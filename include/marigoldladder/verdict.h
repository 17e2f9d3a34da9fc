// What became of a request that was not answered: the verdict says whether it may have run.
//
// Every failure on a request's path is a `Failure`, and every function that can fail returns a
// `Result`. A verdict is a promise to the caller: `NotRun` is given only with proof that no upstream
// can have run the request, so a booking may be sent again. On any doubt it is `MayHaveRun`.
#pragma once

#include "marigoldladder/enum_names.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <chrono>
#include <string>
#include <string_view>

namespace marigoldladder {

enum class Verdict {
    NotRun,
    MayHaveRun,
    Ran,
};

inline constexpr auto verdictNames = std::array {
    EnumName<Verdict> { Verdict::NotRun, "not_run" },
    EnumName<Verdict> { Verdict::MayHaveRun, "may_have_run" },
    EnumName<Verdict> { Verdict::Ran, "ran" },
};

enum class FailureType {
    BadRequest,
    Unauthorised,
    Forbidden,
    NotFound,
    Conflict,
    AllowanceExceeded,
    Overloaded,
    Unavailable,
    NotOwner, // The upstream passes from one owner to the next just now.
    UpstreamFailed,
    DeadlineExceeded,
    Internal,
};

inline constexpr auto failureTypeNames = std::array {
    EnumName<FailureType> { FailureType::BadRequest, "bad_request" },
    EnumName<FailureType> { FailureType::Unauthorised, "unauthorised" },
    EnumName<FailureType> { FailureType::Forbidden, "forbidden" },
    EnumName<FailureType> { FailureType::NotFound, "not_found" },
    EnumName<FailureType> { FailureType::Conflict, "conflict" },
    EnumName<FailureType> { FailureType::AllowanceExceeded, "allowance_exceeded" },
    EnumName<FailureType> { FailureType::Overloaded, "overloaded" },
    EnumName<FailureType> { FailureType::Unavailable, "unavailable" },
    EnumName<FailureType> { FailureType::NotOwner, "owner_changing" },
    EnumName<FailureType> { FailureType::UpstreamFailed, "upstream_failed" },
    EnumName<FailureType> { FailureType::DeadlineExceeded, "deadline_exceeded" },
    EnumName<FailureType> { FailureType::Internal, "internal" },
};

struct Failure {
    FailureType m_type = FailureType::Internal;
    Verdict m_verdict = Verdict::MayHaveRun;
    std::string m_message;
    std::chrono::milliseconds m_retryAfter {}; // Zero: no advice.
};

// A value of type T, or the failure that took its place.
template <typename T>
using Result = boost::outcome_v2::basic_result<T, Failure, boost::outcome_v2::policy::all_narrow>;

// Returns the HTTP status that callers get for a failure of this type.
auto httpStatus(FailureType) -> int;

// Shorthands for the two commonest failures of a request that reached no upstream.
auto notRun(FailureType, std::string message) -> Failure;
auto mayHaveRun(FailureType, std::string message) -> Failure;

} // namespace marigoldladder
