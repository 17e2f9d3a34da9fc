// The part of the request runner that decides what a request does while its upstream is silent.
#include "relay/brittle_pools.h"
#include "relay/request_log_lines.h"
#include "relay/request_runner.h"
#include "relay/upstream_health.h"

#include <utility>

namespace marigoldladder::relay {

namespace {

    using Clock = std::chrono::steady_clock;

} // namespace

// An upstream's silence alone doesn't end a call, since a sound one may be silent for a while.
auto RequestRunner::handleSilence(
    const CallState& state, RequestAttempts& attempts, const UpstreamPointer& upstream) -> SilenceHandling
{
    attempts.m_isSilenceNoted = false;
    if (!mayRetry(*state.m_route))
        return {};
    auto handling = SilenceHandling();
    handling.m_tryMove = [this, &state, &attempts, upstream] {
        const auto stayReason = tryMove(state, attempts, upstream);
        if (!std::exchange(attempts.m_isSilenceNoted, true))
            noteSilence(state, *upstream, stayReason);
        return !stayReason;
    };
    handling.m_stay = [&attempts] { attempts.m_move = nullptr; };
    return handling;
}

auto RequestRunner::noteSilence(
    const CallState& state, Upstream& upstream, std::optional<AttemptsEnd> stayReason) -> void
{
    const auto now = Clock::now();
    if (state.m_via || !isPathBlocked(m_board, upstream))
        recordCallEnd(upstream.m_health, state.m_answerBegan ? CallEnd::Broken : CallEnd::TimedOut, now);
    logSilence(m_log, state, upstream, stayReason, now);
}

auto RequestRunner::tryMove(const CallState& state, RequestAttempts& attempts, const UpstreamPointer& silent)
    -> std::optional<AttemptsEnd>
{
    const auto now = Clock::now();
    if (attempts.m_runs + 1 >= state.m_route->m_maxUpstreams)
        return AttemptsEnd::AttemptsSpent;
    if (now + state.m_route->m_targetLatency >= state.m_deadline)
        return AttemptsEnd::DeadlineReached;
    if (!allowsRetry(
            m_board.m_retryBudget, attempts.m_needs.m_pool, m_settings.m_bounds, m_board.m_nodes, now))
        return AttemptsEnd::RetryBudgetSpent;
    if (attempts.m_move && !maySendTo(m_board.m_upstreams, *attempts.m_move->m_slot.upstream(), now))
        attempts.m_move = nullptr;
    attempts.m_needs.m_software = state.m_origin;
    if (!attempts.m_move)
        attempts.m_move = beginMove(attempts, silent);
    if (!attempts.m_move || attempts.m_move->m_asksForPermit)
        return AttemptsEnd::NoUpstream;
    auto obstacle = std::optional(AttemptsEnd::NoUpstream);
    if (attempts.m_move->m_isPermitted)
        obstacle = obstacleToSend(state, attempts);
    if (obstacle)
        attempts.m_move = nullptr;
    return obstacle;
}

// Returns null if no other upstream has room.
auto RequestRunner::beginMove(const RequestAttempts& attempts, const UpstreamPointer& silent)
    -> std::shared_ptr<PreparedMove>
{
    auto needs = attempts.m_needs;
    needs.m_tried.push_back(silent);
    auto slot = m_waitList.tryAcquireOther(std::move(needs));
    if (!slot)
        return nullptr;
    auto move = std::make_shared<PreparedMove>(PreparedMove { std::move(slot) });
    const auto& upstream = *move->m_slot.upstream();
    if (isLimited(upstream.m_requestLimit) || brittlenessOf(m_board.m_upstreams, upstream.m_record.m_pool)) {
        move->m_asksForPermit = true; // Until the task, which begins later, has ended.
        runTask(m_executor, "permit", m_board.m_metrics, acquirePermit(move));
    }
    return move;
}

// The move may have been given up when the permit arrives.
auto RequestRunner::acquirePermit(std::shared_ptr<PreparedMove> move) -> Awaitable<void>
{
    const auto asking = RaisedFlag(move->m_asksForPermit);
    move->m_isPermitted = co_await acquirePermits(move->m_slot);
}

} // namespace marigoldladder::relay
