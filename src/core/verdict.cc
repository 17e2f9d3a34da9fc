#include "marigoldladder/verdict.h"

#include <utility>

namespace marigoldladder {

auto httpStatus(FailureType type) -> int
{
    switch (type) {
    case FailureType::BadRequest:
        return 400;
    case FailureType::Unauthorised:
        return 401;
    case FailureType::Forbidden:
        return 403;
    case FailureType::NotFound:
        return 404;
    case FailureType::Conflict:
        return 409;
    case FailureType::AllowanceExceeded:
        return 429;
    case FailureType::Overloaded:
    case FailureType::Unavailable:
    case FailureType::NotOwner:
        return 503;
    case FailureType::UpstreamFailed:
        return 502;
    case FailureType::DeadlineExceeded:
        return 504;
    case FailureType::Internal:
        return 500;
    }
    return 500;
}

auto notRun(FailureType type, std::string message) -> Failure
{
    return Failure { type, Verdict::NotRun, std::move(message), {} };
}

auto mayHaveRun(FailureType type, std::string message) -> Failure
{
    return Failure { type, Verdict::MayHaveRun, std::move(message), {} };
}

} // namespace marigoldladder
