#include "relay/caller_server.h"

#include "core/log.h"
#include "relay/listener.h"
#include "relay/read_timeout.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

namespace marigoldladder::relay {

namespace http = boost::beast::http;

namespace {

    using Clock = std::chrono::steady_clock;
    using RequestParser = http::request_parser<http::string_body>;

    constexpr auto deadPeerTimeout = Milliseconds(4'000); // For callers lost without a close.
    constexpr auto bodyTimeout = Milliseconds(10'000); // For the whole body.
    constexpr auto lingerTimeout = Milliseconds(300); // For the caller to read the last answer.
    constexpr auto idleTimeoutMargin = Milliseconds(2'000); // Callers may still use an older bound.
    constexpr auto readBufferBytes = std::size_t { 4'096 };

    // Returns the answer to a request that couldn't be read, or nothing if the connection itself failed.
    auto answerToReadError(ErrorCode error) -> std::optional<LocalAnswer>
    {
        constexpr auto timeoutStatus = 408U;
        constexpr auto tooLargeStatus = 413U;
        constexpr auto headerStatus = 431U;
        constexpr auto badStatus = 400U;
        if (error == beast::error::timeout)
            return LocalAnswer { timeoutStatus,
                notRun(FailureType::BadRequest, "the request came too slowly") };
        if (error == http::error::body_limit)
            return LocalAnswer { tooLargeStatus, notRun(FailureType::BadRequest, "the body is too large") };
        if (error == http::error::header_limit || error == http::error::buffer_overflow)
            return LocalAnswer { headerStatus,
                notRun(FailureType::BadRequest, "the headers, trailers or chunk extensions are too large") };
        if (error == http::error::end_of_stream || error == http::error::partial_message
            || error.category() != http::make_error_code(http::error::bad_method).category())
            return std::nullopt;
        return LocalAnswer { badStatus,
            notRun(FailureType::BadRequest, "no valid request: " + error.message()) };
    }

    // Returns `timeout` instead of the error of a read that the timeout ended.
    auto readError(ErrorCode error, const ReadTimeout& timeout) -> ErrorCode
    {
        if (error == net::error::operation_aborted && timeout.expired())
            return beast::error::timeout;
        return error;
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

class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
    CallerSession(net::ip::tcp::socket socket, CallerServer& server, RelayBoard& board, RequestRunner& runner,
        WaitList& waitList)
        : m_stream(std::move(socket))
        , m_server(server)
        , m_board(board)
        , m_runner(runner)
        , m_waitList(waitList)
    {
        m_server.add(this);
    }

    ~CallerSession() { m_server.remove(this); }
    CallerSession(const CallerSession&) = delete;
    auto operator=(const CallerSession&) -> CallerSession& = delete;

    auto closeIfIdle() -> void
    {
        // Only the pending read is ended: it may have completed without being handled, and a request that has
        // arrived is still served.
        if (m_idle)
            m_stream.cancel();
    }

    auto run() -> Awaitable<void>
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

private:
    auto bounds() const -> CallerBounds
    {
        return m_board.m_configuration ? m_board.m_configuration->m_callerBounds : CallerBounds();
    }

    // Waits for the first byte of a request; false if the connection ended, was idle for too long or is to be
    // closed.
    auto awaitRequest() -> Awaitable<bool>
    {
        if (m_buffer.size() > 0)
            co_return true;
        m_idleTimeout = std::max(m_idleTimeout, bounds().m_idleTimeout);
        m_idle = true;
        const auto timeout = ReadTimeout(m_stream, m_idleTimeout + idleTimeoutMargin);
        auto error = ErrorCode();
        do {
            const auto space = m_buffer.prepare(readBufferBytes);
            const auto length = co_await m_stream.async_read_some(space, errorTo(error));
            m_buffer.commit(length);
        } while (error == net::error::operation_aborted && !isIdle(m_stream.socket()));
        m_idle = false;
        co_return !error;
    }

    // Returns `timeout` if the request came too slowly.
    auto readRequest(RequestParser& parser, MonotonicTime& arrivedAt) -> Awaitable<ErrorCode>
    {
        const auto limits = bounds();
        parser.header_limit(static_cast<std::uint32_t>(limits.m_headerBytes));
        parser.body_limit(limits.m_bodyBytes);
        // The parser bounds the head; what it takes for a unit behind the head stays in the buffer until
        // whole.
        m_buffer.max_size(limits.m_headerBytes + readBufferBytes);
        const auto error = co_await readHead(parser, limits.m_headerTimeout);
        arrivedAt = Clock::now();
        if (error || parser.is_done() || hasAmbiguousFraming(parser.get()))
            co_return error;
        co_return co_await readBody(parser);
    }

    auto readHead(RequestParser& parser, Milliseconds time) -> Awaitable<ErrorCode>
    {
        const auto timeout = ReadTimeout(m_stream, time);
        auto error = ErrorCode();
        co_await http::async_read_header(m_stream, m_buffer, parser, errorTo(error));
        co_return readError(error, timeout);
    }

    auto readBody(RequestParser& parser) -> Awaitable<ErrorCode>
    {
        const auto timeout = ReadTimeout(m_stream, bodyTimeout);
        auto error = ErrorCode();
        if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
            static constexpr auto continueLine = std::string_view("HTTP/1.1 100 Continue\r\n\r\n");
            co_await net::async_write(m_stream, net::buffer(continueLine), errorTo(error));
        }
        if (!error)
            co_await http::async_read(m_stream, m_buffer, parser, errorTo(error));
        co_return readError(error, timeout);
    }

    // Reads and answers one request; true when the connection may serve another.
    auto serveOne() -> Awaitable<bool>
    {
        auto parser = RequestParser();
        auto state = std::make_shared<CallState>();
        const auto error = co_await readRequest(parser, state->m_arrivedAt);
        auto refused = std::optional<LocalAnswer>();
        if (error) {
            refused = answerToReadError(error);
            if (!refused)
                co_return false;
        } else if (hasAmbiguousFraming(parser.get())) {
            refused = answerToReadError(http::error::bad_transfer_encoding);
        }
        if (refused) {
            auto answer = CallerAnswer(m_stream, false);
            co_await answer.sendLocalAnswer(*refused);
            co_return false;
        }
        state->m_message = parser.release();
        watchForDisconnect(state);
        auto answer = CallerAnswer(m_stream, state->m_message.keep_alive() && !m_board.m_leaving);
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
    auto answerRequest(CallState& state, CallerAnswer& answer) -> Awaitable<void>
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
    auto watchForDisconnect(const std::shared_ptr<CallState>& state) -> void
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

    auto stopWatching() -> void
    {
        auto ignored = ErrorCode();
        m_stream.socket().cancel(ignored); // Fails only on a closed socket, on which nothing waits.
    }

    // Leaves the caller time to read the last answer: a close with unread bytes would reset the connection.
    auto lingeringClose() -> Awaitable<void>
    {
        auto error = ErrorCode();
        m_stream.socket().shutdown(net::ip::tcp::socket::shutdown_send, error);
        m_stream.expires_after(lingerTimeout);
        while (!error) {
            m_buffer.clear();
            const auto space = m_buffer.prepare(readBufferBytes);
            (void)co_await m_stream.async_read_some(space, errorTo(error));
        }
        m_stream.close();
    }

    tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    CallerServer& m_server;
    RelayBoard& m_board;
    RequestRunner& m_runner;
    WaitList& m_waitList;
    Milliseconds m_idleTimeout { 0 };
    bool m_idle = false;
};

namespace {

    auto runSession(std::shared_ptr<CallerSession> session) -> Awaitable<void>
    {
        co_await session->run();
    }

} // namespace

CallerServer::CallerServer(Executor executor, RelayBoard& board, RequestRunner& runner, WaitList& waitList)
    : m_executor(std::move(executor))
    , m_board(board)
    , m_runner(runner)
    , m_waitList(waitList)
    , m_acceptor(m_executor)
{
}

CallerServer::~CallerServer() = default;

auto CallerServer::listen(const Address& address) -> bool
{
    if (!openListener(m_acceptor, address))
        return false;
    auto startSession = [this](net::ip::tcp::socket socket) {
        auto session
            = std::make_shared<CallerSession>(std::move(socket), *this, m_board, m_runner, m_waitList);
        runTask(m_executor, "session", m_board.m_metrics, runSession(std::move(session)));
    };
    runLoop(m_executor, "accept " + formatAddress(address), m_board.m_metrics,
        [this, startSession] { return acceptConnections(m_acceptor, startSession); });
    return true;
}

auto CallerServer::closeIdle() -> void
{
    for (auto* session : m_sessions)
        session->closeIfIdle();
}

} // namespace marigoldladder::relay
