#include "relay/caller_session.h"

#include "core/log.h"
#include "relay/connection_deadline.h"
#include "relay/read_timeout.h"
#include "relay/request_failure.h"
#include "relay/task.h"

#include <boost/asio/write.hpp>

namespace marigoldladder::relay {

namespace http = boost::beast::http;

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr auto deadPeerTimeout = Milliseconds(4'000); // For callers lost without a close.
    constexpr auto lingerTimeout = Milliseconds(300); // For the caller to read the last answer.
    constexpr auto idleTimeoutMargin = Milliseconds(2'000); // Callers may still use an older bound.
    constexpr auto memoryRetryAfter = Milliseconds(500); // Requests that stop short end within seconds.

    // Returns the answer to a request that couldn't be read, or nothing if the connection itself failed.
    auto answerToReadError(ErrorCode error) -> std::optional<LocalAnswer>
    {
        constexpr auto timeoutStatus = 408U;
        constexpr auto tooLargeStatus = 413U;
        constexpr auto headerStatus = 431U;
        constexpr auto badStatus = 400U;
        constexpr auto memoryStatus = 503U;
        if (error == beast::error::timeout)
            return LocalAnswer { timeoutStatus,
                notRun(FailureType::BadRequest, "the request came too slowly") };
        if (error == http::error::body_limit)
            return LocalAnswer { tooLargeStatus, notRun(FailureType::BadRequest, "the body is too large") };
        if (error == http::error::header_limit || error == http::error::buffer_overflow)
            return LocalAnswer { headerStatus,
                notRun(FailureType::BadRequest, "the headers, trailers or chunk extensions are too large") };
        if (error == tooLittleMemory())
            return LocalAnswer { memoryStatus,
                refusal(FailureType::Unavailable, "too little memory is left for the request",
                    memoryRetryAfter) };
        if (error == http::error::end_of_stream || error == http::error::partial_message
            || error.category() != http::make_error_code(http::error::bad_method).category())
            return std::nullopt;
        return LocalAnswer { badStatus,
            notRun(FailureType::BadRequest, "no valid request: " + error.message()) };
    }

    // Whether two HTTP parsers could disagree on the length of the body (request smuggling).
    auto hasAmbiguousFraming(const HeaderFields& fields) -> bool
    {
        if (fields.count(http::field::content_length) > 1 || fields.count(http::field::transfer_encoding) > 1)
            return true;
        const auto encoding = fields.find(http::field::transfer_encoding);
        if (encoding == fields.end())
            return false;
        return fields.count(http::field::content_length) > 0 || !beast::iequals(encoding->value(), "chunked");
    }

} // namespace

CallerSession::CallerSession(net::ip::tcp::socket socket, ConnectionRoom& room, RelayBoard& board,
    RequestRunner& runner, WaitList& waitList)
    : m_stream(std::move(socket))
    , m_room(room)
    , m_board(board)
    , m_runner(runner)
    , m_waitList(waitList)
    , m_place(room.budget())
{
    m_place.m_giveUp = [this] { giveUp(); };
    m_place.m_closeIfIdle = [this] { closeIfIdle(); };
    m_place.m_close = [this] { m_stream.close(); };
    enterPhase(m_place, ConnectionPhase::Idle);
    m_room.add(m_place);
}

CallerSession::~CallerSession()
{
    m_room.remove(m_place);
}

auto CallerSession::giveUp() -> void
{
    if (m_place.m_phase == ConnectionPhase::Answering) {
        m_board.m_metrics.add(Counter::AnswersWithoutMemory);
        m_stream.close();
        return;
    }
    m_isRefused = true;
    m_stream.cancel();
}

// Only the pending read is ended: it may have completed without being handled, and a request that has arrived
// is still served.
auto CallerSession::closeIfIdle() -> void
{
    if (m_place.m_phase == ConnectionPhase::Idle)
        m_stream.cancel();
}

auto CallerSession::run() -> Awaitable<void>
{
    auto error = ErrorCode();
    m_stream.socket().set_option(net::ip::tcp::no_delay(true), error);
    setDeadPeerTimeout(m_stream.socket(), deadPeerTimeout);
    for (;;) {
        const auto hasRequest = co_await awaitRequest();
        if (!hasRequest)
            co_return;
        const auto keepsOpen = co_await serveOne();
        if (!keepsOpen)
            break;
    }
    co_await lingeringClose();
}

auto CallerSession::bounds() const -> CallerBounds
{
    return m_board.m_configuration ? m_board.m_configuration->m_callerBounds : CallerBounds();
}

// Waits for the first byte of a request; false if the connection ended, was idle for too long or is to be
// closed.
auto CallerSession::awaitRequest() -> Awaitable<bool>
{
    if (m_buffer.size() > 0)
        co_return true;
    if (m_buffer.capacity() > readBufferBytes)
        m_buffer.shrink_to_fit();
    (void)m_room.reserve(m_place, m_buffer.capacity()); // Less than before, which can't fail.
    m_idleTimeout = std::max(m_idleTimeout, bounds().m_idleTimeout);
    enterPhase(m_place, ConnectionPhase::Idle);
    const auto timeout = ReadTimeout(m_stream, m_idleTimeout + idleTimeoutMargin);
    auto error = ErrorCode();
    do {
        const auto space = m_buffer.prepare(readBufferBytes);
        const auto length = co_await m_stream.async_read_some(space, errorTo(error));
        m_buffer.commit(length);
    } while (error == net::error::operation_aborted && !isIdle(m_stream.socket()));
    co_return !error;
}

auto CallerSession::readRequest(CallState& state) -> Awaitable<ErrorCode>
{
    enterPhase(m_place, ConnectionPhase::Reading);
    const auto mayHold = [this](std::size_t bytes) {
        m_requestBytes = bytes;
        return !m_isRefused && m_room.reserve(m_place, bytes);
    };
    auto reader = RequestReader(m_stream, m_buffer, bounds(), mayHold);
    auto error = co_await reader.readHead();
    state.m_arrivedAt = Clock::now();
    m_asksForHead = reader.asksForHead();
    if (!error && hasAmbiguousFraming(reader.head()))
        error = http::make_error_code(http::error::bad_transfer_encoding);
    if (!error && !reader.isComplete())
        error = co_await reader.readBody();
    if (m_isRefused)
        co_return tooLittleMemory();
    if (!error)
        state.m_message = reader.release();
    co_return error;
}

// Answers a request that can't be read; the connection has to be closed.
auto CallerSession::refuse(ErrorCode error) -> Awaitable<void>
{
    if (error == tooLittleMemory())
        m_board.m_metrics.add(Counter::RequestsWithoutMemory);
    auto answer = CallerAnswer(m_stream, { false, m_asksForHead });
    if (const auto refused = answerToReadError(error))
        co_await answer.sendLocalAnswer(*refused);
    else
        m_stream.close();
}

// Reads and answers one request; true when the connection may serve another.
auto CallerSession::serveOne() -> Awaitable<bool>
{
    auto state = std::make_shared<CallState>();
    const auto error = co_await readRequest(*state);
    if (error) {
        co_await refuse(error);
        co_return false;
    }
    m_place.m_hasServed = true;
    enterPhase(m_place, ConnectionPhase::Running);
    watchForDisconnect(state);
    state->m_mayHoldAnswer
        = [this](std::size_t bytes) { return m_room.reserve(m_place, m_requestBytes + bytes); };
    const auto form = AnswerForm { state->m_message.keep_alive() && !m_board.m_leaving, m_asksForHead };
    auto answer = CallerAnswer(m_stream, form, [this](bool writes) {
        enterPhase(m_place, writes ? ConnectionPhase::Answering : ConnectionPhase::Running);
    });
    co_await answerRequest(*state, answer);
    state->m_cancelUpstream = nullptr;
    stopWatching();
    if (state->m_callerDisconnected || !answer.complete()) {
        // A partial answer must not look complete, so the connection is closed without the last chunk.
        m_stream.close();
        co_return false;
    }
    co_return answer.reusable();
}

// Runs the request. A caller that is still connected gets an answer, whatever fails.
auto CallerSession::answerRequest(CallState& state, CallerAnswer& answer) -> Awaitable<void>
{
    auto fault = std::string("it ended without an answer");
    try {
        co_await m_runner.run(state, answer);
        if (answer.begun() || state.m_callerDisconnected)
            co_return;
    } catch (...) {
        fault = describe(std::current_exception());
    }
    m_board.m_metrics.add(Counter::InternalFailures);
    logWarning("request_failed_inside",
        { { "request", state.m_request.m_id }, { "route", state.m_route ? state.m_route->m_name : "" },
            { "fault", fault }, { "answer_begun", answer.begun() ? "yes" : "no" } });
    if (answer.begun() || state.m_callerDisconnected)
        co_return;
    const auto failure = mayHaveRun(FailureType::UpstreamFailed, "this node failed during the request");
    const auto own = LocalAnswer { static_cast<unsigned>(httpStatus(failure.m_type)), failure };
    co_await answer.sendLocalAnswer(own);
}

// Cancels the running request when the caller closes its connection.
auto CallerSession::watchForDisconnect(const std::shared_ptr<CallState>& state) -> void
{
    if (m_buffer.size() > 0)
        return;
    m_stream.socket().async_wait(
        net::ip::tcp::socket::wait_read, [self = shared_from_this(), state](ErrorCode error) {
            if (error || !isClosed(self->m_stream.socket()))
                return;
            state->m_callerDisconnected = true;
            if (state->m_cancelUpstream)
                state->m_cancelUpstream();
            self->m_waitList.wakeCancelled();
        });
}

auto CallerSession::stopWatching() -> void
{
    auto ignored = ErrorCode();
    m_stream.socket().cancel(ignored); // Fails only on a closed socket, on which nothing waits.
}

// Leaves the caller time to read the last answer: a close with unread bytes would reset the connection.
auto CallerSession::lingeringClose() -> Awaitable<void>
{
    enterPhase(m_place, ConnectionPhase::Closing);
    m_buffer = beast::flat_buffer();
    m_place.m_memory.release();
    auto error = ErrorCode();
    m_stream.socket().shutdown(net::ip::tcp::socket::shutdown_send, error);
    const auto deadline = ConnectionDeadline(m_stream, Clock::now() + lingerTimeout);
    while (!error) {
        m_buffer.clear();
        const auto space = m_buffer.prepare(readBufferBytes);
        (void)co_await m_stream.async_read_some(space, errorTo(error));
    }
    m_stream.close();
}

} // namespace marigoldladder::relay
