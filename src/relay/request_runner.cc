#include "relay/request_runner.h"

#include "relay/blackboard_updates.h"
#include "relay/request_admission.h"
#include "relay/request_failure.h"
#include "relay/request_log_lines.h"
#include "relay/request_needs.h"
#include "relay/taken_up_stream.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    using Clock = std::chrono::steady_clock;

    // Longest wait for a slot. Callers abandon a stream soon after; an adapter takes a few hundred
    // milliseconds to load, longer when many load at once.
    constexpr auto maxSlotWait = Milliseconds(3'000);

    // Callers abandon a stream after a longer gap between two events.
    constexpr auto minGapBorne = Milliseconds(2'000);
    constexpr auto gapBornePerLatency = 4; // Of the route's target.
    constexpr auto gapBornePerGap = 8; // Of the route's target.

    // Returns until when the request may wait for a slot. A stream that has begun waits for as long as its
    // caller does, as it can't be refused any more.
    auto slotDeadlineOf(const CallState& state) -> MonotonicTime
    {
        auto until = state.m_arrivedAt + maxSlotWait;
        if (state.m_lastPartAt != MonotonicTime()) {
            const auto& route = *state.m_route;
            const auto gapBorne = std::max<Milliseconds>({ minGapBorne,
                route.m_targetLatency * gapBornePerLatency, route.m_targetEventGap * gapBornePerGap });
            until = std::max(until, state.m_lastPartAt + gapBorne);
        }
        return std::min(until, state.m_deadline);
    }

    // Upstreams that crashed are back about then.
    constexpr auto originRetryAfter = Milliseconds(1'000);

    // A request that counts as in flight during the object's lifetime.
    class RequestInFlight {
    public:
        explicit RequestInFlight(RelayBoard& board)
            : m_board(board)
        {
            ++m_board.m_requestsInFlight;
        }
        ~RequestInFlight() { --m_board.m_requestsInFlight; }
        RequestInFlight(const RequestInFlight&) = delete;
        auto operator=(const RequestInFlight&) -> RequestInFlight& = delete;

    private:
        RelayBoard& m_board;
    };

    // Learns from a request that was sent at the expected end of its adapter's load.
    auto recordTestedLoad(LoadSpeed& loadSpeed, const Upstream& upstream, const std::string& adapter,
        UpstreamCallOutcome outcome) -> void
    {
        const auto refusals = adapterRefusals(upstream, adapter);
        if (outcome == UpstreamCallOutcome::Delivered && refusals == 0)
            recordLoadEnd(loadSpeed, LoadEnd::AsExpected);
        // Further requests that waited for the same load say the same.
        if (outcome == UpstreamCallOutcome::Refused && refusals == 1)
            recordLoadEnd(loadSpeed, LoadEnd::Late);
    }

    // Whether the call broke off during its request, as it does if the request crashes the upstream.
    auto brokeOff(UpstreamCallOutcome outcome) -> bool
    {
        return outcome == UpstreamCallOutcome::Broken || outcome == UpstreamCallOutcome::Interrupted;
    }

    // Whether the answer is to go on at another upstream after its beginning was sent to the caller.
    auto isToResume(UpstreamCallOutcome outcome, bool answerBegan) -> bool
    {
        return outcome == UpstreamCallOutcome::Interrupted
            || (outcome == UpstreamCallOutcome::Moved && answerBegan);
    }

} // namespace

RequestRunner::RequestRunner(Executor executor, const RelaySettings& settings, RelayBoard& board,
    AllowanceExchange& allowances, WaitList& waitList, RequestLimitExchange& requestLimits,
    RoomExchange& rooms, StreamOriginExchange& origins, UpstreamCaller& upstreamCaller,
    CrashWatch& crashWatch, const Dialect& dialect)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_board(board)
    , m_allowances(allowances)
    , m_waitList(waitList)
    , m_requestLimits(requestLimits)
    , m_rooms(rooms)
    , m_origins(origins)
    , m_upstreamCaller(upstreamCaller)
    , m_crashWatch(crashWatch)
    , m_dialect(dialect)
    , m_random(std::random_device()())
{
}

auto RequestRunner::run(CallState& state, CallerAnswer& answer) -> Awaitable<void>
{
    m_board.m_metrics.add(Counter::RequestsReceived);
    state.m_request = m_dialect.m_readRequest(state.m_message.base());
    state.m_configuration = m_board.m_configuration;
    const auto admitted = admit(state, m_board, Clock::now());
    if (!admitted) {
        co_await refuse(state, answer, admitted.error());
        co_return;
    }
    state.m_suspects = suspectsOf(state);
    if (const auto refused = m_crashWatch.refusalOf(state)) {
        co_await refuse(state, answer, *refused);
        co_return;
    }
    if (const auto refused = co_await findOrigin(state)) {
        co_await refuse(state, answer, *refused);
        co_return;
    }
    auto attempts = RequestAttempts();
    const auto* organisation = admitted.value();
    if (organisation) {
        const auto refused = co_await charge(state, *organisation, attempts);
        if (refused) {
            co_await refuse(state, answer, *refused);
            co_return;
        }
    }
    attempts.m_needs = needsOf(state, organisation, m_random);
    if (const auto software = neededSoftware(state, m_board.m_upstreams))
        attempts.m_needs.m_pool = poolOfSoftware(m_board.m_upstreams, *state.m_route, *software)
                                      .value_or(attempts.m_needs.m_pool);
    co_await makeAttempts(state, answer, attempts);
    if (attempts.m_runs == 0)
        m_allowances.refund(attempts.m_charge);
    co_await finish(state, answer, attempts);
}

auto RequestRunner::makeAttempts(CallState& state, CallerAnswer& answer, RequestAttempts& attempts)
    -> Awaitable<void>
{
    const auto& needs = attempts.m_needs;
    recordRequest(m_board.m_retryBudget, needs.m_pool, m_settings.m_bounds, state.m_arrivedAt);
    if (!needs.m_adapter.empty())
        recordAdapterRequest(m_board.m_adapterRates, needs.m_adapter, state.m_arrivedAt);
    const auto inFlight = RequestInFlight(m_board);
    while (!attempts.m_end)
        attempts.m_end = co_await attempt(state, answer, attempts);
}

auto RequestRunner::findOrigin(CallState& state) -> Awaitable<std::optional<Failure>>
{
    if (!isTakenUp(state))
        co_return std::nullopt;
    m_board.m_metrics.add(Counter::StreamsTakenUp);
    const auto stream = streamKeyOf(state).value_or(0);
    const auto found = co_await m_origins.find(stream, poolsOf(*state.m_route));
    state.m_origin = found.m_software;
    if (!state.m_origin)
        m_board.m_metrics.add(Counter::StreamsOfUnknownOrigin);
    const auto software = neededSoftware(state, m_board.m_upstreams);
    const auto isServed = software && poolOfSoftware(m_board.m_upstreams, *state.m_route, *software);
    logTakenUp(m_log, state, found, isServed);
    if (isServed)
        co_return std::nullopt;
    m_board.m_metrics.add(Counter::StreamsNotTakenUp);
    co_return refusal(FailureType::Unavailable,
        state.m_origin ? "no upstream runs the software that began the stream"
                       : "it isn't known which software began the stream",
        originRetryAfter);
}

auto RequestRunner::charge(const CallState& state, const Organisation& organisation,
    RequestAttempts& attempts) -> Awaitable<std::optional<Failure>>
{
    const auto& request = state.m_request;
    const auto tokens = request.m_hasTokenCounts ? request.m_promptTokens + request.m_outputTokens
                                                 : organisation.m_defaultRequestTokens;
    attempts.m_charge = co_await m_allowances.charge(organisation, tokens);
    if (attempts.m_charge.m_outcome == AllowanceOutcome::Granted)
        co_return std::nullopt;
    logAllowanceRefusal(m_log, state, organisation, attempts.m_charge, tokens);
    co_return allowanceRefusal(attempts.m_charge);
}

auto RequestRunner::attempt(CallState& state, CallerAnswer& answer, RequestAttempts& attempts)
    -> Awaitable<std::optional<AttemptsEnd>>
{
    auto place = Place();
    const auto move = co_await awaitMove(state, attempts);
    if (move) {
        place.m_slot = std::move(move->m_slot);
    } else {
        place = co_await acquirePlace(state, attempts);
        if (!place.m_slot)
            co_return place.m_end;
        ++attempts.m_sends;
    }
    const auto upstream = place.m_slot.upstream();
    const auto use = AdapterUse(m_board.m_adapterRates, attempts.m_needs.m_adapter, &AdapterRate::m_inFlight);
    const auto testsLoad = isAtExpectedLoadEnd(*upstream, attempts.m_needs.m_adapter, Clock::now());
    const auto handling = handleSilence(state, attempts, upstream);
    const auto outcome = move ? co_await m_upstreamCaller.take(state, answer, *move->m_hedge, handling)
                              : co_await m_upstreamCaller.call(state, answer, upstream, handling);
    if (auto* room = place.m_slot.room())
        room->setEnd(state.m_call.m_roomEnd);
    if (testsLoad)
        recordTestedLoad(m_board.m_loadSpeed, *upstream, attempts.m_needs.m_adapter, outcome);
    const auto end = recordCall(state, state.m_call, attempts, upstream, outcome);
    logAttempt(m_log, state, state.m_call, *upstream, outcome, place.m_wait, end);
    if (end)
        giveUpMove(state, attempts);
    co_return end;
}

auto RequestRunner::acquirePlace(const CallState& state, RequestAttempts& attempts) -> Awaitable<Place>
{
    const auto rank = WaitRank { state.m_priority, state.m_arrivedAt };
    const auto slotDeadline = slotDeadlineOf(state);
    attempts.m_refusal.reset();
    attempts.m_needs.m_software = neededSoftware(state, m_board.m_upstreams);
    const auto waitStartedAt = Clock::now();
    auto found
        = co_await m_waitList.acquire(attempts.m_needs, rank, slotDeadline, state.m_callerDisconnected);
    const auto waited = std::chrono::duration_cast<Milliseconds>(Clock::now() - waitStartedAt);
    auto place = Place();
    place.m_wait = SlotWait { waited, found.m_firstOutcome };
    attempts.m_lastOutcome = found.m_outcome;
    attempts.m_retryAt = found.m_retryAt;
    if (!state.m_callerDisconnected && !found.m_slot) {
        place.m_end = AttemptsEnd::NoUpstream;
        co_return place;
    }
    auto isPermitted = false;
    if (!state.m_callerDisconnected)
        isPermitted = co_await acquirePermits(found.m_slot);
    if (isPermitted && !state.m_callerDisconnected)
        place.m_end = obstacleToSend(state, attempts);
    if (state.m_callerDisconnected)
        place.m_end = AttemptsEnd::CallerDisconnected;
    if (isPermitted && !place.m_end)
        place.m_slot = std::move(found.m_slot);
    co_return place;
}

auto RequestRunner::acquirePermits(UpstreamSlot& slot) -> Awaitable<bool>
{
    const auto upstream = slot.upstream();
    auto room = co_await m_rooms.acquire(upstream);
    if (!room.m_isGranted)
        co_return false;
    slot.setRoom(std::move(room.m_permit));
    co_return co_await m_requestLimits.acquire(upstream);
}

auto RequestRunner::obstacleToSend(const CallState& state, RequestAttempts& attempts)
    -> std::optional<AttemptsEnd>
{
    attempts.m_retryCountedAt.reset();
    // A send that reached no upstream may be tried again, as it may be the trial of a convicted suspect.
    if (attempts.m_clearedSend != attempts.m_sends)
        attempts.m_refusal = m_crashWatch.refusalAtDispatch(state);
    if (attempts.m_refusal)
        return AttemptsEnd::CrashSuspect;
    attempts.m_clearedSend = attempts.m_sends;
    if (attempts.m_sends > 0 && !acquireRetry(attempts))
        return AttemptsEnd::RetryBudgetSpent;
    return std::nullopt;
}

auto RequestRunner::acquireRetry(RequestAttempts& attempts) -> bool
{
    const auto now = Clock::now();
    if (!tryAcquireRetry(
            m_board.m_retryBudget, attempts.m_needs.m_pool, m_settings.m_bounds, m_board.m_nodes, now))
        return false;
    attempts.m_retryCountedAt = now;
    m_board.m_metrics.add(Counter::RequestsRetried);
    return true;
}

auto RequestRunner::giveBackRetry(RequestAttempts& attempts) -> void
{
    if (const auto countedAt = std::exchange(attempts.m_retryCountedAt, std::nullopt))
        returnRetry(m_board.m_retryBudget, attempts.m_needs.m_pool, m_settings.m_bounds, *countedAt);
}

auto RequestRunner::recordCall(const CallState& state, const CallProgress& call, RequestAttempts& attempts,
    const UpstreamPointer& upstream, UpstreamCallOutcome outcome) -> std::optional<AttemptsEnd>
{
    const auto wasSent
        = outcome != UpstreamCallOutcome::NotReached && outcome != UpstreamCallOutcome::NotSent;
    if (!wasSent)
        giveBackRetry(attempts);
    if (!wasSent && state.m_callerDisconnected)
        return AttemptsEnd::CallerDisconnected;
    if (outcome != UpstreamCallOutcome::NotSent)
        attempts.m_needs.m_tried.push_back(upstream);
    if (brokeOff(outcome))
        m_crashWatch.noteBroken(upstream, state, call);
    if (isToResume(outcome, call.m_answerBegan))
        m_board.m_metrics.add(Counter::StreamsResumed);
    const auto isLate = Clock::now() >= state.m_deadline;
    countCall(attempts, outcome, isLate);
    const auto end = endAfter(attempts, outcome, *state.m_route, isLate);
    if (!end && brokeOff(outcome) && !m_crashWatch.mayRepeat(state))
        return AttemptsEnd::CrashSuspect;
    return end;
}

auto RequestRunner::refuse(const CallState& state, CallerAnswer& answer, const Failure& failure,
    std::optional<AttemptsEnd> end) -> Awaitable<void>
{
    m_board.m_metrics.add(failure.m_verdict == Verdict::NotRun ? Counter::RequestsRefusedNotRun
                                                               : Counter::RequestsRefusedMayHaveRun);
    logFailure(m_log, state, failure, end, configurationVersion(m_board));
    const auto own = LocalAnswer { static_cast<unsigned>(httpStatus(failure.m_type)), failure };
    co_await answer.sendLocalAnswer(own);
}

auto RequestRunner::finish(const CallState& state, CallerAnswer& answer, const RequestAttempts& attempts)
    -> Awaitable<void>
{
    auto& metrics = m_board.m_metrics;
    if (answer.complete()) {
        metrics.add(Counter::RequestsServed);
        co_return;
    }
    if (state.m_callerDisconnected) {
        metrics.add(Counter::CallersGone);
        co_return;
    }
    if (answer.begun()) {
        metrics.add(Counter::StreamsCut);
        metrics.add(attempts.m_end ? cutCounterOf(*attempts.m_end) : Counter::StreamsCutOtherwise);
        logCut(m_log, state, attempts.m_end, configurationVersion(m_board));
        co_return;
    }
    if (state.m_upstreamFailure) {
        metrics.add(Counter::RequestsRefusedMayHaveRun);
        const auto& received = *state.m_upstreamFailure;
        co_await answer.sendWhole(received.m_status, received.m_fields, received.m_body);
        co_return;
    }
    const auto failure = failureAfter(attempts, state.m_deadline, Clock::now(), m_random);
    co_await refuse(state, answer, failure, attempts.m_end);
}

} // namespace marigoldladder::relay
