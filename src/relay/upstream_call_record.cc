// The part of the upstream caller that records what a call showed of its upstream.
#include "relay/blackboard_updates.h"
#include "relay/upstream_call.h"
#include "relay/upstream_choice.h"

namespace marigoldladder::relay {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr auto fullRetryDelay = Milliseconds(40); // After an upstream refused a request for load.

    auto healthOutcomeOf(UpstreamCallOutcome outcome) -> std::optional<CallEnd>
    {
        switch (outcome) {
        case UpstreamCallOutcome::Delivered:
            return CallEnd::Answered;
        case UpstreamCallOutcome::Failed:
            return CallEnd::Failed;
        case UpstreamCallOutcome::NotReached:
            return CallEnd::NotReached;
        case UpstreamCallOutcome::Broken:
        case UpstreamCallOutcome::Interrupted:
            return CallEnd::Broken;
        case UpstreamCallOutcome::TimedOut:
            return CallEnd::TimedOut;
        case UpstreamCallOutcome::Refused:
        case UpstreamCallOutcome::NotSent:
        case UpstreamCallOutcome::Moved: // Its silence has been recorded.
        case UpstreamCallOutcome::NotNeeded:
        case UpstreamCallOutcome::NotKept: // For want of this node's memory.
        case UpstreamCallOutcome::TakenBack:
        case UpstreamCallOutcome::CallerDisconnected:
            return std::nullopt;
        }
        return std::nullopt;
    }

} // namespace

auto UpstreamCaller::recordMissingAdapter(const std::string& adapter, Upstream& upstream, MonotonicTime now)
    -> void
{
    if (recordAdapterRefusal(upstream, adapter, now))
        m_board.m_missingAdapters.push_back({ upstream.m_record.m_name, adapter, now });
}

auto UpstreamCaller::recordNoRoom(CallProgress& progress, Upstream& upstream, MonotonicTime now) -> void
{
    upstream.m_fullUntil = now + fullRetryDelay;
    progress.m_roomEnd = RoomEnd::Refused;
}

auto UpstreamCaller::recordRefusal(
    const CallState& state, CallProgress& progress, Upstream& upstream, const UpstreamAnswer& answer) -> void
{
    const auto now = Clock::now();
    if (!answer.m_instanceMismatch) {
        recordNoRoom(progress, upstream, now);
        return;
    }
    const auto replaced = !answer.m_instance.empty() && answer.m_instance != upstream.m_record.m_name.value();
    if (replaced)
        upstream.m_record.m_leaving = true;
    else if (!state.m_request.m_adapter.empty())
        recordMissingAdapter(state.m_request.m_adapter, upstream, now);
    else
        upstream.m_fullUntil = now + fullRetryDelay;
}

auto UpstreamCaller::recordReachability(Upstream& upstream, UpstreamCallOutcome outcome, bool refused) -> void
{
    const auto now = Clock::now();
    if (outcome == UpstreamCallOutcome::Delivered || outcome == UpstreamCallOutcome::Refused) {
        upstream.m_reachability = {};
        upstream.m_mayHaveRestarted = false; // A new run would have been found by a new connection.
    }
    if (!refused)
        return;
    const auto wasKnown = isUnreachable(upstream.m_reachability, now);
    upstream.m_reachability.m_refusedAt = now;
    if (!wasKnown)
        m_board.m_upstreamUnreachable(upstream);
}

// Whether the end of a call says something of the upstream, and not of this node's own path or of the peer
// that carried the call.
auto UpstreamCaller::saysOfUpstream(const CallProgress& progress, const Upstream& upstream) const -> bool
{
    return progress.m_via ? m_connections.isCarrier(*progress.m_via) : !isPathBlocked(m_board, upstream);
}

auto UpstreamCaller::recordEnd(
    const CallProgress& progress, Upstream& upstream, UpstreamCallOutcome outcome, bool refused) -> void
{
    recordReachability(upstream, outcome, refused);
    const auto callEnd = healthOutcomeOf(outcome);
    if (callEnd && saysOfUpstream(progress, upstream))
        recordCallEnd(upstream.m_health, *callEnd, Clock::now());
}

} // namespace marigoldladder::relay
