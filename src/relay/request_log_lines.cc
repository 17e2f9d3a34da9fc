#include "relay/request_log_lines.h"

#include <string>
#include <string_view>

namespace marigoldladder::relay {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr auto maxIdLength = std::size_t { 64 }; // Of what a caller names, in a line.

    auto formatVersion(std::optional<std::uint64_t> version) -> std::string
    {
        return version ? std::to_string(*version) : "";
    }

    auto formatWhole(double value) -> std::string
    {
        return std::to_string(static_cast<std::int64_t>(value));
    }

    auto logEnd(RequestLog& log, const CallState& state, std::string_view event, std::string reason,
        std::optional<AttemptsEnd> end, std::uint64_t configurationVersion) -> void
    {
        log.write(event, state.m_request.m_id,
            { { "route", state.m_route ? state.m_route->m_name : "" },
                { "organisation", state.m_organisation.value() }, { "adapter", state.m_request.m_adapter },
                { "reason", std::move(reason) }, { "last_attempt_because", formatEnd(end) },
                { "age_ms", millisecondsBetween(state.m_arrivedAt, Clock::now()) },
                { "configuration", std::to_string(configurationVersion) } });
    }

} // namespace

auto logAllowanceRefusal(RequestLog& log, const CallState& state, const Organisation& organisation,
    const AllowanceDecision& decision, double tokens) -> void
{
    log.write("allowance_refused", state.m_request.m_id,
        { { "organisation", organisation.m_name.value() },
            { "outcome", std::string(nameOf(allowanceOutcomeNames, decision.m_outcome)) },
            { "tokens", formatWhole(tokens) },
            { "retry_after_ms", std::to_string(decision.m_retryAfter.count()) },
            { "rate", formatWhole(organisation.m_tokensPerSecond) },
            { "burst", formatWhole(organisation.m_burstTokens) } });
}

auto logAttempt(RequestLog& log, const CallState& state, const CallProgress& call, const Upstream& upstream,
    UpstreamCallOutcome outcome, const SlotWait& wait, std::optional<AttemptsEnd> end) -> void
{
    const auto late = state.m_timeToFirstPart && *state.m_timeToFirstPart > state.m_route->m_targetLatency;
    if (outcome == UpstreamCallOutcome::Delivered && !late && !isSampled(state.m_request.m_id))
        return;
    const auto now = Clock::now();
    const auto firstPartTime
        = state.m_timeToFirstPart ? std::to_string(state.m_timeToFirstPart->count()) : "";
    log.write(late ? "request_late" : "request_attempt", state.m_request.m_id,
        { { "route", state.m_route->m_name }, { "upstream", upstream.m_record.m_name.value() },
            { "run", std::to_string(upstream.m_record.m_startedAt) },
            { "run_stated", formatVersion(call.m_runStartedAt) },
            { "software", std::to_string(call.m_software) },
            { "through", call.m_via ? call.m_via->value() : "" }, { "adapter", state.m_request.m_adapter },
            { "held_version", formatVersion(call.m_versions.m_held) },
            { "stated_version", formatVersion(call.m_versions.m_stated) },
            { "sent_ms", millisecondsBetween(state.m_arrivedAt, call.m_versions.m_sentAt) },
            { "end", std::string(nameOf(upstreamCallOutcomeNames, outcome)) },
            { "waited_ms", std::to_string(wait.m_time.count()) },
            { "waited_for", std::string(nameOf(choiceOutcomeNames, wait.m_reason)) },
            { "first_part_ms", firstPartTime }, { "age_ms", millisecondsBetween(state.m_arrivedAt, now) },
            { "silent_ms", millisecondsBetween(call.m_lastHeardAt, now) },
            { "left_ms", millisecondsBetween(now, state.m_deadline) },
            { "last_attempt_because", formatEnd(end) },
            { "upstream_in_flight", std::to_string(upstream.m_inFlight) },
            { "peers_in_flight", std::to_string(upstream.m_peersInFlight) } });
}

auto logTakenUp(RequestLog& log, const CallState& state, const FoundOrigin& found, bool isServed) -> void
{
    log.write("stream_taken_up", state.m_request.m_id,
        { { "route", state.m_route->m_name },
            { "began_with", state.m_request.m_resumedId.substr(0, maxIdLength) },
            { "after_event", state.m_request.m_lastEventId.substr(0, maxIdLength) },
            { "software", formatVersion(found.m_software) },
            { "known_by", std::string(nameOf(originSourceNames, found.m_source)) },
            { "candidates", std::to_string(found.m_candidates) },
            { "nodes_asked", std::to_string(found.m_nodesAsked) },
            { "nodes_answered", std::to_string(found.m_nodesAnswered) },
            { "nodes_that_know_all", std::to_string(found.m_nodesThatKnowAll) },
            { "watched_ms", std::to_string(found.m_watchedFor.count()) },
            { "upstream_there", isServed ? "yes" : "no" },
            { "age_ms", millisecondsBetween(state.m_arrivedAt, Clock::now()) } });
}

auto logSilence(RequestLog& log, const CallState& state, const Upstream& upstream,
    std::optional<AttemptsEnd> stayReason, MonotonicTime now) -> void
{
    log.write("upstream_silent", state.m_request.m_id,
        { { "route", state.m_route->m_name }, { "upstream", upstream.m_record.m_name.value() },
            { "silent_ms", millisecondsBetween(state.m_call.m_lastHeardAt, now) },
            { "left_ms", millisecondsBetween(now, state.m_deadline) },
            { "stays_because", formatEnd(stayReason) } });
}

auto logFailure(RequestLog& log, const CallState& state, const Failure& failure,
    std::optional<AttemptsEnd> end, std::uint64_t configurationVersion) -> void
{
    const auto* event = failure.m_verdict == Verdict::NotRun ? "request_refused" : "request_failed";
    logEnd(log, state, event, failure.m_message, end, configurationVersion);
}

auto logCut(RequestLog& log, const CallState& state, std::optional<AttemptsEnd> end,
    std::uint64_t configurationVersion) -> void
{
    const auto* reason = "the upstream's stream broke and could not be resumed";
    logEnd(log, state, "request_cut", reason, end, configurationVersion);
}

} // namespace marigoldladder::relay
