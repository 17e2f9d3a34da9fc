#include "relay/simple_http_server.h"

#include "relay/request_reader.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace marigoldladder::relay {

namespace http = boost::beast::http;

namespace {

    constexpr auto requestTimeout = std::chrono::milliseconds(20'000); // Idle time included.
    constexpr auto answerTimeout = std::chrono::milliseconds(20'000);

    auto callerBounds() -> CallerBounds
    {
        auto bounds = CallerBounds();
        bounds.m_headerTimeout = requestTimeout;
        return bounds;
    }

    auto responseOf(SimpleHttpAnswer answer, bool keepsOpen) -> http::response<http::string_body>
    {
        auto response = http::response<http::string_body>();
        response.version(11);
        response.result(answer.m_status);
        response.set(http::field::content_type, answer.m_contentType);
        response.keep_alive(keepsOpen);
        response.body() = std::move(answer.m_body);
        response.prepare_payload();
        return response;
    }

} // namespace

SimpleHttpServer::SimpleHttpServer(
    const Executor& executor, const NodeCapacity& capacity, Metrics& metrics, SimpleHttpHandler handler)
    : m_metrics(metrics)
    , m_handler(std::move(handler))
    , m_budget { capacity.m_otherPortBytes }
    , m_connections(capacity.m_otherConnections, metrics)
    , m_acceptor(executor)
{
}

auto SimpleHttpServer::listen(const Address& address) -> bool
{
    return serveConnections(m_acceptor, address, m_metrics,
        [this](net::ip::tcp::socket socket) { return serve(std::move(socket)); });
}

auto SimpleHttpServer::serve(net::ip::tcp::socket socket) -> Awaitable<void>
{
    const auto stream = std::make_shared<tcp_stream>(std::move(socket));
    auto buffer = beast::flat_buffer();
    auto memory = MemoryShare(m_budget);
    const auto mayHold = [&memory](std::size_t bytes) { return memory.tryResize(beyondFree(bytes)); };
    for (auto keepsOpen = true; keepsOpen;) {
        m_connections.touch(stream);
        auto reader = RequestReader(*stream, buffer, callerBounds(), mayHold);
        const auto unread = co_await reader.readHead();
        if (unread || !reader.isComplete())
            co_return;
        const auto request = reader.release();
        keepsOpen = request.keep_alive();
        auto answer = SimpleHttpAnswer();
        if (request.method() == http::verb::get)
            answer = m_handler(std::string(request.target()));
        const auto response = responseOf(std::move(answer), keepsOpen);
        auto error = ErrorCode();
        stream->expires_after(answerTimeout);
        co_await http::async_write(*stream, response, errorTo(error));
        stream->expires_never();
        if (error)
            co_return;
    }
}

auto queryParameter(std::string_view target, std::string_view name) -> std::string
{
    const auto questionMark = target.find('?');
    if (questionMark == std::string_view::npos)
        return {};
    auto query = target.substr(questionMark + 1);
    while (!query.empty()) {
        const auto end = query.find('&');
        const auto pair = query.substr(0, end);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return std::string(pair.substr(equals + 1));
        query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
    }
    return {};
}

} // namespace marigoldladder::relay
