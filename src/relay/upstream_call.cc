#include "relay/upstream_call.h"

#include "relay/blackboard_updates.h"
#include "relay/stream_forwarding.h"
#include "relay/upstream_answer.h"
#include "relay/upstream_choice.h"
#include "relay/upstream_notices.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

namespace marigoldladder::relay {

namespace http = boost::beast::http;

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr auto successStatus = 200U;
    constexpr auto redirectStatus = 300U;
    constexpr auto serverErrorStatus = 500U;
    // Pause before an answer after which an idempotent request moves to another upstream that has room.
    constexpr auto answerPauseFactor = 3;
    constexpr auto minAnswerPause = Milliseconds(600);
    constexpr auto fullRetryDelay = Milliseconds(40); // After an upstream refused a request for load.
    constexpr auto lowestPriority = 9;

    // Statuses by which callers are promised that their request has not run and never will.
    constexpr auto refusalStatuses = std::array { 408U, 421U, 429U, 503U };

    auto isSuccess(unsigned status) -> bool
    {
        return status >= successStatus && status < redirectStatus;
    }

    // Whether the status of an upstream's answer, which may have run the request, would promise a caller that
    // it has not. That doesn't harm requests that may run more than once.
    auto soundsLikeRefusal(const CallState& state, unsigned status) -> bool
    {
        return !mayRetry(*state.m_route)
            && std::find(refusalStatuses.begin(), refusalStatuses.end(), status) != refusalStatuses.end();
    }

    auto answerPause(const Route& route) -> Milliseconds
    {
        return std::max<Milliseconds>(route.m_targetLatency * answerPauseFactor, minAnswerPause);
    }

    auto requestFor(const CallState& state, const Dialect& dialect, const Dispatch& dispatch)
        -> http::request<http::span_body<const char>>
    {
        auto request = http::request<http::span_body<const char>>();
        static_cast<http::request_header<>&>(request) = state.m_message.base();
        request.version(11);
        removeConnectionFields(request);
        dialect.m_prepareForUpstream(request, dispatch);
        const auto& body = state.m_message.body();
        request.body() = beast::span<const char>(body.data(), body.size());
        if (!body.empty() || state.m_message.method() == http::verb::post
            || state.m_message.method() == http::verb::put)
            request.content_length(body.size());
        return request;
    }

    auto heldVersion(const Upstream& upstream, const std::string& adapter) -> std::optional<std::uint64_t>
    {
        const auto found = upstream.m_adapters.find(adapter);
        return found == upstream.m_adapters.end() ? std::nullopt : std::optional(found->second.m_version);
    }

    auto timeLeft(const CallState& state) -> Milliseconds
    {
        return std::chrono::duration_cast<Milliseconds>(state.m_deadline - Clock::now());
    }

    // Closes the upstream connection if the caller disconnects during this object's lifetime.
    class DisconnectHook {
    public:
        DisconnectHook(CallState& state, tcp_stream& stream)
            : m_state(state)
        {
            m_state.m_cancelUpstream = [&stream] { stream.close(); };
        }
        ~DisconnectHook() { m_state.m_cancelUpstream = nullptr; }
        DisconnectHook(const DisconnectHook&) = delete;
        auto operator=(const DisconnectHook&) -> DisconnectHook& = delete;

    private:
        CallState& m_state;
    };

    auto releaseIfReusable(UpstreamConnectionPool& connections, CallState& state,
        const UpstreamPointer& upstream, UpstreamConnectionPointer connection, bool keepAlive,
        Milliseconds idleTime) -> void
    {
        // The connection may serve other requests from here on, so this caller must not close it.
        state.m_cancelUpstream = nullptr;
        if (keepAlive && connection->m_buffer.size() == 0)
            connections.release(upstream, std::move(connection), idleTime);
    }

    auto outcomeWithoutAnswer(const CallState& state, const CallInProgress& call, const SilenceWatch& silence,
        bool timedOut) -> UpstreamCallOutcome
    {
        if (state.m_callerDisconnected)
            return UpstreamCallOutcome::CallerDisconnected;
        if (call.isTakenBack())
            return UpstreamCallOutcome::TakenBack;
        if (silence.hasMoved())
            return UpstreamCallOutcome::Moved;
        return timedOut ? UpstreamCallOutcome::TimedOut : UpstreamCallOutcome::Broken;
    }

    // Whether the upstream's answer ended before its end was forwarded.
    auto isBroken(UpstreamCallOutcome outcome) -> bool
    {
        return outcome == UpstreamCallOutcome::Broken || outcome == UpstreamCallOutcome::Interrupted
            || outcome == UpstreamCallOutcome::TimedOut;
    }

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
        case UpstreamCallOutcome::NotKept: // For want of this node's memory.
        case UpstreamCallOutcome::TakenBack:
        case UpstreamCallOutcome::CallerDisconnected:
            return std::nullopt;
        }
        return std::nullopt;
    }

} // namespace

UpstreamCaller::UpstreamCaller(UpstreamConnectionPool& connections, const Dialect& dialect, RelayBoard& board)
    : m_connections(connections)
    , m_dialect(dialect)
    , m_board(board)
{
}

auto UpstreamCaller::recordMissingAdapter(const std::string& adapter, Upstream& upstream, MonotonicTime now)
    -> void
{
    if (recordAdapterRefusal(upstream, adapter, now))
        m_board.m_missingAdapters.push_back({ upstream.m_record.m_name, adapter, now });
}

auto UpstreamCaller::recordNoRoom(CallState& state, Upstream& upstream, MonotonicTime now) -> void
{
    upstream.m_fullUntil = now + fullRetryDelay;
    state.m_roomEnd = RoomEnd::Refused;
}

auto UpstreamCaller::recordRefusal(CallState& state, Upstream& upstream, const UpstreamAnswer& answer) -> void
{
    const auto now = Clock::now();
    if (!answer.m_instanceMismatch) {
        recordNoRoom(state, upstream, now);
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
auto UpstreamCaller::saysOfUpstream(const CallState& state, const Upstream& upstream) const -> bool
{
    return state.m_via ? m_connections.isCarrier(*state.m_via) : !isPathBlocked(m_board, upstream);
}

auto UpstreamCaller::obstacleToSend(const CallState& state, const Upstream& upstream) const
    -> std::optional<UpstreamCallOutcome>
{
    const auto now = Clock::now();
    if (now >= state.m_deadline)
        return UpstreamCallOutcome::NotReached;
    const auto fitsOrigin = !state.m_origin || *state.m_origin == upstream.m_record.m_software;
    if (state.m_callerDisconnected || !fitsOrigin || !maySendTo(m_board.m_upstreams, upstream, now))
        return UpstreamCallOutcome::NotSent;
    return std::nullopt;
}

auto UpstreamCaller::call(CallState& state, CallerAnswer& answer, const UpstreamPointer& upstream,
    const SilenceHandling& handling) -> Awaitable<UpstreamCallOutcome>
{
    state.m_answerBegan = false;
    state.m_via.reset();
    state.m_roomEnd = RoomEnd::Unknown;
    state.m_versions = { std::nullopt, std::nullopt, Clock::now() };
    if (const auto obstacle = obstacleToSend(state, *upstream))
        co_return *obstacle;
    auto refused = false;
    auto connection = co_await m_connections.acquire(upstream, state.m_usedConnections, refused);
    auto outcome = UpstreamCallOutcome::NotReached;
    if (connection) {
        // The connect may have taken a while.
        if (const auto obstacle = obstacleToSend(state, *upstream))
            co_return *obstacle;
        state.m_usedConnections.push_back(connection->m_number);
        state.m_via = connection->m_via;
        outcome = co_await exchange(state, answer, upstream, std::move(connection), handling);
    }
    recordReachability(*upstream, outcome, refused);
    const auto callEnd = healthOutcomeOf(outcome);
    if (callEnd && saysOfUpstream(state, *upstream))
        recordCallEnd(upstream->m_health, *callEnd, Clock::now());
    co_return outcome;
}

auto UpstreamCaller::exchange(CallState& state, CallerAnswer& answer, const UpstreamPointer& upstream,
    UpstreamConnectionPointer connection, const SilenceHandling& handling) -> Awaitable<UpstreamCallOutcome>
{
    auto dispatch = Dispatch { upstream->m_record.m_name, state.m_organisation, timeLeft(state),
        std::clamp(state.m_priority, 0, lowestPriority), std::nullopt, state.m_lastEventId };
    const auto held = heldVersion(*upstream, state.m_request.m_adapter);
    dispatch.m_adapterVersion
        = versionToState(m_board.m_upstreams.m_versions, state.m_request.m_adapter, held, Clock::now());
    const auto request = requestFor(state, m_dialect, dispatch);
    const auto disconnectHook = DisconnectHook(state, connection->m_stream);
    auto inProgress = CallInProgress(m_board.m_callsInProgress, state.m_request.m_adapter,
        dispatch.m_adapterVersion.value_or(0), connection->m_stream, state.m_answerBegan);
    auto error = ErrorCode();
    const auto sentAt = Clock::now();
    state.m_versions = { held, dispatch.m_adapterVersion, sentAt };
    state.m_lastHeardAt = sentAt;
    state.m_software = upstream->m_record.m_software;
    auto silence = SilenceWatch(connection->m_stream, handling);
    connection->m_deadline.emplace(connection->m_stream, state.m_deadline);
    silence.begin(answerPause(*state.m_route));
    co_await http::async_write(connection->m_stream, request, errorTo(error));
    // An upstream may answer before it reads the whole body, so the answer is read after a failed write too.
    auto head = co_await readHead(*connection, state, m_dialect, m_board);
    silence.end();
    if (!head.m_parser)
        co_return outcomeWithoutAnswer(state, inProgress, silence, head.m_timedOut);
    state.m_lastHeardAt = Clock::now();
    const auto status = head.m_parser->get().result_int();
    const auto idleTime = keepAliveTimeout(head.m_parser->get());
    applyRequestAnswerNotices(m_board, *upstream, head.m_answer.m_notices, sentAt, Clock::now());
    if (!head.m_answer.m_notRun)
        state.m_roomEnd = RoomEnd::Taken;
    if (isSuccess(status) && !head.m_answer.m_notRun && state.m_route->m_kind == CallKind::Stream) {
        const auto stream
            = co_await forwardStream(state, answer, *connection, *head.m_parser, silence, m_board);
        if (stream.m_outcome == UpstreamCallOutcome::Delivered)
            releaseIfReusable(
                m_connections, state, upstream, std::move(connection), stream.m_keepAlive, idleTime);
        const auto isTakenBack = inProgress.isTakenBack() && isBroken(stream.m_outcome);
        co_return isTakenBack ? UpstreamCallOutcome::TakenBack : stream.m_outcome;
    }
    // Unlike that of a stream, this answer's head shows that the request has begun.
    inProgress.recordAnswer();
    auto whole = WholeAnswer();
    auto keepAlive = false;
    error = co_await readWhole(*connection, *head.m_parser, whole, keepAlive, state.m_mayHoldAnswer);
    if (head.m_answer.m_notRun) {
        recordRefusal(state, *upstream, head.m_answer);
        if (!error)
            releaseIfReusable(m_connections, state, upstream, std::move(connection), keepAlive, idleTime);
        co_return UpstreamCallOutcome::Refused;
    }
    if (error == tooLittleMemory()) {
        m_board.m_metrics.add(Counter::AnswersWithoutMemory);
        co_return UpstreamCallOutcome::NotKept;
    }
    if (error)
        co_return outcomeWithoutAnswer(state, inProgress, silence, connection->m_deadline->expired());
    recordAnswerBegan(state, m_board);
    if (isSuccess(whole.m_status))
        recordAnswerEnded(state, m_board);
    releaseIfReusable(m_connections, state, upstream, std::move(connection), keepAlive, idleTime);
    removeConnectionFields(whole.m_fields);
    if (answer.begun())
        co_return UpstreamCallOutcome::Interrupted;
    if (soundsLikeRefusal(state, whole.m_status))
        co_return UpstreamCallOutcome::Failed;
    if (whole.m_status >= serverErrorStatus) {
        state.m_upstreamFailure = std::move(whole);
        co_return UpstreamCallOutcome::Failed;
    }
    const auto bodyless = state.m_message.method() == http::verb::head;
    const auto sent = co_await answer.sendWhole(whole.m_status, whole.m_fields, whole.m_body, bodyless);
    co_return sent == SendOutcome::Sent ? UpstreamCallOutcome::Delivered
                                        : UpstreamCallOutcome::CallerDisconnected;
}

} // namespace marigoldladder::relay
