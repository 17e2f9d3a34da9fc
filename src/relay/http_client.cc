#include "relay/http_client.h"

#include "core/http_status.h"
#include "relay/connection_deadline.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace marigoldladder::relay {

namespace http = boost::beast::http;

namespace {

    constexpr auto connectTimeout = std::chrono::milliseconds(1'000);
    constexpr auto deadPeerTimeout
        = std::chrono::milliseconds(2'000); // For a server that became unreachable without closing.
    constexpr auto maxIdle = std::size_t { 4 }; // Idle connections; more calls rarely overlap.

    auto replyOf(http::response<http::string_body> response) -> HttpReply
    {
        auto reply = HttpReply();
        reply.m_status = response.result_int();
        reply.m_body = std::move(response.body());
        reply.m_fields = std::move(response.base());
        return reply;
    }

} // namespace

HttpClient::Connection::Connection(const Executor& executor)
    : m_stream(executor)
    , m_buffer(answerBufferBytes)
{
}

HttpClient::HttpClient(Executor executor, Address server)
    : m_executor(std::move(executor))
    , m_server(std::move(server))
{
}

auto HttpClient::acquireIdle() -> std::unique_ptr<Connection>
{
    while (!m_idle.empty()) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (isIdle(connection->m_stream.socket()))
            return connection;
    }
    return nullptr;
}

auto HttpClient::call(HttpCall call) -> Awaitable<HttpResult>
{
    auto connection = acquireIdle();
    if (!connection) {
        connection = std::make_unique<Connection>(m_executor);
        auto error = ErrorCode();
        co_await connectTo(connection->m_stream, m_server, connectTimeout, error);
        if (error)
            co_return HttpCallFailure::NotSent;
        setDeadPeerTimeout(connection->m_stream.socket(), deadPeerTimeout);
    }
    if (call.m_maySend && !call.m_maySend())
        co_return HttpCallFailure::NotSent;
    auto reusable = false;
    auto result = co_await exchange(*connection, call, reusable);
    if (reusable && m_idle.size() < maxIdle)
        m_idle.push_back(std::move(connection));
    co_return result;
}

auto HttpClient::exchange(Connection& connection, const HttpCall& call, bool& reusable)
    -> Awaitable<HttpResult>
{
    auto request = http::request<http::string_body>(call.m_method, call.m_target, 11);
    for (const auto& field : call.m_fields)
        request.insert(field.name(), field.name_string(), field.value());
    request.set(http::field::host, formatAddress(m_server));
    if (!call.m_body.empty()) {
        request.set(http::field::content_type, "application/json");
        request.body() = call.m_body;
    }
    request.prepare_payload();
    auto error = ErrorCode();
    const auto deadline
        = ConnectionDeadline(connection.m_stream, std::chrono::steady_clock::now() + call.m_timeout);
    co_await http::async_write(connection.m_stream, request, errorTo(error));
    if (error)
        co_return HttpCallFailure::Unknown;
    for (auto interimAnswers = 0; interimAnswers <= maxInterimAnswers; ++interimAnswers) {
        auto parser = http::response_parser<http::string_body>();
        parser.body_limit(call.m_maxReplyBytes);
        // Read at once with its body, a head that states too long a body would be passed over.
        co_await http::async_read_header(connection.m_stream, connection.m_buffer, parser, errorTo(error));
        if (!error)
            co_await http::async_read(connection.m_stream, connection.m_buffer, parser, errorTo(error));
        if (error)
            co_return HttpCallFailure::Unknown;
        const auto kind = kindOfStatus(parser.get().result_int());
        if (kind == StatusKind::Interim)
            continue;
        if (kind == StatusKind::Invalid)
            co_return HttpCallFailure::Unknown;
        reusable = parser.get().keep_alive() && connection.m_buffer.size() == 0;
        co_return replyOf(std::move(parser.get()));
    }
    co_return HttpCallFailure::Unknown;
}

} // namespace marigoldladder::relay
