// The log lines about a request's way to its answer.
#pragma once

#include "relay/request_attempts.h"
#include "relay/request_log.h"
#include "relay/stream_origins.h"

#include <cstdint>

namespace marigoldladder::relay {

// `allowance_refused`: the organisation's allowance doesn't cover the request.
auto logAllowanceRefusal(
    RequestLog&, const CallState&, const Organisation&, const AllowanceDecision&, double tokens) -> void;

// `stream_taken_up`: a caller goes on with a stream of an earlier attempt. `isServed`: upstreams of the
// software that began it are there.
auto logTakenUp(RequestLog&, const CallState&, const FoundOrigin&, bool isServed) -> void;

// `request_attempt`, or `request_late` if the first part came later than the route's target: how one call to
// an upstream ended. Of answers in time only a sample is logged.
auto logAttempt(RequestLog&, const CallState&, const CallProgress&, const Upstream&, UpstreamCallOutcome,
    const SlotWait&, std::optional<AttemptsEnd>) -> void;

// `upstream_silent`: the upstream called last is silent. `stayReason`: why the request doesn't move to
// another one; empty: it moves.
auto logSilence(RequestLog&, const CallState&, const Upstream&, std::optional<AttemptsEnd> stayReason,
    MonotonicTime now) -> void;

// `request_refused` if the request wasn't run, `request_failed` if it may have been.
auto logFailure(RequestLog&, const CallState&, const Failure&, std::optional<AttemptsEnd>,
    std::uint64_t configurationVersion) -> void;

// `request_cut`: the caller received a part of its answer only.
auto logCut(RequestLog&, const CallState&, std::optional<AttemptsEnd>, std::uint64_t configurationVersion)
    -> void;

} // namespace marigoldladder::relay
