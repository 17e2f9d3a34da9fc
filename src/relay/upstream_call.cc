#include "relay/upstream_call.h"

#include "core/http_status.h"
#include "core/log.h"
#include "relay/blackboard_updates.h"
#include "relay/stream_forwarding.h"
#include "relay/taken_up_stream.h"
#include "relay/upstream_answer.h"
#include "relay/upstream_choice.h"
#include "relay/upstream_notices.h"
#include "relay/upstream_run.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

namespace marigoldladder::relay {

namespace http = boost::beast::http;

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr auto serverErrorStatus = 500U;
    // Pause before an answer after which an idempotent request moves to another upstream that has room.
    constexpr auto answerPauseFactor = 3;
    constexpr auto minAnswerPause = Milliseconds(600);
    constexpr auto lowestPriority = 9;
    constexpr auto connectionTries = 2; // An upstream may end a connection with any answer.

    // Statuses by which callers are promised that their request has not run and never will.
    constexpr auto refusalStatuses = std::array { 408U, 421U, 429U, 503U };

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

    // Closes the upstream connection if the caller disconnects during this object's lifetime, unless the
    // connection may serve other requests by then.
    class DisconnectHook {
    public:
        DisconnectHook(CallState& state, const SentCall& sent)
            : m_state(state)
        {
            m_state.m_cancelUpstream = [&sent] {
                if (sent.m_connection)
                    sent.m_connection->m_stream.close();
            };
        }
        ~DisconnectHook() { m_state.m_cancelUpstream = nullptr; }
        DisconnectHook(const DisconnectHook&) = delete;
        auto operator=(const DisconnectHook&) -> DisconnectHook& = delete;

    private:
        CallState& m_state;
    };

    auto releaseIfReusable(
        UpstreamConnectionPool& connections, SentCall& sent, bool keepAlive, Milliseconds idleTime) -> void
    {
        auto connection = std::move(sent.m_connection);
        if (keepAlive && connection->m_buffer.size() == 0)
            connections.release(sent.m_upstream, std::move(connection), idleTime);
    }

    auto outcomeWithoutAnswer(const CallState& state, const CallInProgress& call, const SilenceWatch& silence,
        bool timedOut) -> UpstreamCallOutcome
    {
        if (state.m_callerDisconnected)
            return UpstreamCallOutcome::CallerDisconnected;
        if (silence.hasMoved() && !call.isTakenBack())
            return UpstreamCallOutcome::Moved;
        return outcomeWithoutAnswer(call, timedOut);
    }

    // Whether the upstream's answer ended before its end was forwarded.
    auto isBroken(UpstreamCallOutcome outcome) -> bool
    {
        return outcome == UpstreamCallOutcome::Broken || outcome == UpstreamCallOutcome::Interrupted
            || outcome == UpstreamCallOutcome::TimedOut;
    }

} // namespace

UpstreamCaller::UpstreamCaller(UpstreamConnectionPool& connections, const Dialect& dialect, RelayBoard& board)
    : m_connections(connections)
    , m_dialect(dialect)
    , m_board(board)
{
}

auto UpstreamCaller::obstacleToSend(const CallState& state, const Upstream& upstream) const
    -> std::optional<UpstreamCallOutcome>
{
    const auto now = Clock::now();
    if (now >= state.m_deadline)
        return UpstreamCallOutcome::NotReached;
    const auto origin = neededSoftware(state, m_board.m_upstreams);
    const auto fitsOrigin = !origin || runsSoftware(upstream, *origin);
    if (state.m_callerDisconnected || !fitsOrigin || !maySendTo(m_board.m_upstreams, upstream, now))
        return UpstreamCallOutcome::NotSent;
    return std::nullopt;
}

// A stream goes on, and its origin is noted, by what the process on the connection says of itself.
auto UpstreamCaller::acquireConnection(const CallState& state, SentCall& sent, bool& refused)
    -> Awaitable<bool>
{
    for (auto tries = 0; tries < connectionTries && !state.m_callerDisconnected; ++tries) {
        sent.m_connection = co_await m_connections.acquire(sent.m_upstream, state.m_usedConnections, refused);
        if (!sent.m_connection || !mayBeTakenUp(*state.m_route))
            co_return sent.m_connection != nullptr;
        const auto outcome = co_await askRun(
            *sent.m_connection, *sent.m_upstream, m_dialect, state.m_deadline, m_board.m_metrics);
        if (outcome == RunQuestion::Answered)
            co_return fitsOrigin(state, sent);
        sent.m_connection = nullptr;
        if (outcome == RunQuestion::NotAnswered)
            break;
    }
    co_return false;
}

auto UpstreamCaller::fitsOrigin(const CallState& state, const SentCall& sent) -> bool
{
    auto& upstream = *sent.m_upstream;
    const auto software = softwareOn(*sent.m_connection, upstream, Clock::now());
    if (isOtherRun(*sent.m_connection, upstream))
        noteUnlistedRun(upstream, software, *sent.m_connection->m_runStartedAt);
    const auto origin = neededSoftware(state, m_board.m_upstreams);
    return !origin || software == *origin;
}

auto UpstreamCaller::noteUnlistedRun(Upstream& upstream, SoftwareId software, std::uint64_t startedAt) -> void
{
    if (upstream.m_unlistedSoftware == software)
        return;
    upstream.m_unlistedSoftware = software;
    m_board.m_metrics.add(Counter::OutdatedEntries);
    logChange("upstream_entry_outdated",
        { { "upstream", upstream.m_record.m_name.value() },
            { "listed_run", std::to_string(upstream.m_record.m_startedAt) },
            { "run", std::to_string(startedAt) } });
    ++m_board.m_upstreams.m_softwareChanges;
    // It holds nothing of before, and is as cold as one that was refused connections before.
    upstream.m_adapters.clear();
    upstream.m_mayHaveRestarted = true;
    m_connections.noteAccepted(upstream);
    m_board.m_capacityChanged(); // For streams that wait for this run.
}

auto UpstreamCaller::connect(CallState& state, CallProgress& progress, SentCall& sent)
    -> Awaitable<std::optional<UpstreamCallOutcome>>
{
    progress = CallProgress();
    progress.m_versions.m_sentAt = Clock::now();
    auto& upstream = *sent.m_upstream;
    if (const auto obstacle = obstacleToSend(state, upstream))
        co_return obstacle;
    auto refused = false;
    const auto acquired = co_await acquireConnection(state, sent, refused);
    if (!sent.m_connection)
        recordEnd(progress, upstream, UpstreamCallOutcome::NotReached, refused);
    if (!acquired)
        co_return UpstreamCallOutcome::NotReached;
    // The connect may have taken a while.
    if (const auto obstacle = obstacleToSend(state, upstream))
        co_return obstacle;
    state.m_usedConnections.push_back(sent.m_connection->m_number);
    progress.m_via = sent.m_connection->m_via;
    co_return std::nullopt;
}

auto UpstreamCaller::send(CallState& state, CallProgress& progress, SentCall& sent) -> Awaitable<void>
{
    auto& connection = *sent.m_connection;
    auto& upstream = *sent.m_upstream;
    auto dispatch = Dispatch { upstream.m_record.m_name, state.m_organisation, timeLeft(state),
        std::clamp(state.m_priority, 0, lowestPriority), std::nullopt, state.m_lastEventId };
    const auto held = heldVersion(upstream, state.m_request.m_adapter);
    dispatch.m_adapterVersion
        = versionToState(m_board.m_upstreams.m_versions, state.m_request.m_adapter, held, Clock::now());
    const auto request = requestFor(state, m_dialect, dispatch);
    sent.m_inProgress = std::make_unique<CallInProgress>(m_board.m_callsInProgress, state.m_request.m_adapter,
        dispatch.m_adapterVersion.value_or(0), connection.m_stream, progress.m_answerBegan);
    const auto sentAt = Clock::now();
    progress.m_versions = { held, dispatch.m_adapterVersion, sentAt };
    progress.m_lastHeardAt = sentAt;
    progress.m_software = softwareOn(connection, upstream, sentAt);
    progress.m_runStartedAt = connection.m_runStartedAt;
    connection.m_deadline.emplace(connection.m_stream, state.m_deadline);
    auto error = ErrorCode();
    co_await http::async_write(connection.m_stream, request, errorTo(error));
    // An upstream may answer before it reads the whole body, so the answer is read after a failed write too.
    connection.m_writeFailed = error.failed();
    sent.m_head = co_await readHead(connection, state, m_dialect, m_board);
    if (!sent.m_head.m_parser)
        co_return;
    const auto& answer = sent.m_head.m_answer;
    progress.m_lastHeardAt = Clock::now();
    applyRequestAnswerNotices(m_board, upstream, answer.m_notices, sentAt, Clock::now());
    if (!answer.m_notRun)
        progress.m_roomEnd = RoomEnd::Taken;
}

auto UpstreamCaller::call(CallState& state, CallerAnswer& answer, const UpstreamPointer& upstream,
    const SilenceHandling& handling) -> Awaitable<UpstreamCallOutcome>
{
    auto sent = SentCall { upstream, nullptr, nullptr, {} };
    if (const auto obstacle = co_await connect(state, state.m_call, sent))
        co_return *obstacle;
    const auto disconnectHook = DisconnectHook(state, sent);
    auto silence = SilenceWatch(sent.m_connection->m_stream, handling);
    silence.begin(answerPause(*state.m_route));
    co_await send(state, state.m_call, sent);
    silence.end(sent.m_head.m_parser != nullptr);
    const auto outcome = co_await receive(state, answer, sent, silence);
    recordEnd(state.m_call, *upstream, outcome);
    co_return outcome;
}

auto UpstreamCaller::take(CallState& state, CallerAnswer& answer, HedgedCall& hedged,
    const SilenceHandling& handling) -> Awaitable<UpstreamCallOutcome>
{
    auto& sent = hedged.m_call;
    state.m_call = hedged.m_progress;
    const auto disconnectHook = DisconnectHook(state, sent);
    auto silence = SilenceWatch(sent.m_connection->m_stream, handling);
    const auto outcome = co_await receive(state, answer, sent, silence);
    recordEnd(state.m_call, *sent.m_upstream, outcome);
    co_return outcome;
}

auto UpstreamCaller::receive(CallState& state, CallerAnswer& answer, SentCall& sent, SilenceWatch& silence)
    -> Awaitable<UpstreamCallOutcome>
{
    const auto& head = sent.m_head;
    if (!head.m_parser)
        co_return outcomeWithoutAnswer(state, *sent.m_inProgress, silence, head.m_timedOut);
    if (head.m_answer.m_notRun) {
        co_await receiveRefusal(state, state.m_call, sent);
        co_return UpstreamCallOutcome::Refused;
    }
    const auto isStream = state.m_route->m_kind == CallKind::Stream;
    if (!isStream || !isSuccess(head.m_parser->get().result_int()))
        co_return co_await receiveWhole(state, answer, sent, silence);
    const auto idleTime = keepAliveTimeout(head.m_parser->get());
    const auto stream
        = co_await forwardStream(state, answer, *sent.m_connection, *head.m_parser, silence, m_board);
    if (stream.m_outcome == UpstreamCallOutcome::Delivered)
        releaseIfReusable(m_connections, sent, stream.m_keepAlive, idleTime);
    const auto isTakenBack = sent.m_inProgress->isTakenBack() && isBroken(stream.m_outcome);
    co_return isTakenBack ? UpstreamCallOutcome::TakenBack : stream.m_outcome;
}

auto UpstreamCaller::receiveRefusal(CallState& state, CallProgress& progress, SentCall& sent)
    -> Awaitable<void>
{
    const auto idleTime = keepAliveTimeout(sent.m_head.m_parser->get());
    auto whole = WholeAnswer();
    auto keepAlive = false;
    sent.m_inProgress->recordAnswer();
    const auto error = co_await readWhole(
        *sent.m_connection, *sent.m_head.m_parser, whole, keepAlive, state.m_mayHoldAnswer);
    recordRefusal(state, progress, *sent.m_upstream, sent.m_head.m_answer);
    if (!error)
        releaseIfReusable(m_connections, sent, keepAlive, idleTime);
}

auto UpstreamCaller::receiveWhole(CallState& state, CallerAnswer& answer, SentCall& sent,
    const SilenceWatch& silence) -> Awaitable<UpstreamCallOutcome>
{
    const auto idleTime = keepAliveTimeout(sent.m_head.m_parser->get());
    // Unlike that of a stream, this answer's head shows that the request has begun.
    sent.m_inProgress->recordAnswer();
    auto whole = WholeAnswer();
    auto keepAlive = false;
    const auto error = co_await readWhole(
        *sent.m_connection, *sent.m_head.m_parser, whole, keepAlive, state.m_mayHoldAnswer);
    if (error == tooLittleMemory()) {
        m_board.m_metrics.add(Counter::AnswersWithoutMemory);
        co_return UpstreamCallOutcome::NotKept;
    }
    if (error)
        co_return outcomeWithoutAnswer(
            state, *sent.m_inProgress, silence, sent.m_connection->m_deadline->expired());
    recordAnswerBegan(state, m_board);
    if (isSuccess(whole.m_status))
        recordAnswerEnded(state, m_board);
    releaseIfReusable(m_connections, sent, keepAlive, idleTime);
    removeConnectionFields(whole.m_fields);
    if (answer.begun())
        co_return UpstreamCallOutcome::Interrupted;
    if (soundsLikeRefusal(state, whole.m_status))
        co_return UpstreamCallOutcome::Failed;
    if (whole.m_status >= serverErrorStatus) {
        state.m_upstreamFailure = std::move(whole);
        co_return UpstreamCallOutcome::Failed;
    }
    const auto delivered = co_await answer.sendWhole(whole.m_status, whole.m_fields, whole.m_body);
    co_return delivered == SendOutcome::Sent ? UpstreamCallOutcome::Delivered
                                             : UpstreamCallOutcome::CallerDisconnected;
}

} // namespace marigoldladder::relay
