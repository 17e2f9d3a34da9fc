#include "relay/simple_http_server.h"

#include "relay/listener.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace marigoldladder::relay {

namespace http = boost::beast::http;

namespace {

    constexpr auto idleTimeout = std::chrono::milliseconds(20'000);
    constexpr auto maxHeaderBytes = 16'384U;

} // namespace

SimpleHttpServer::SimpleHttpServer(const Executor& executor, SimpleHttpHandler handler)
    : m_handler(std::move(handler))
    , m_acceptor(executor)
{
}

auto SimpleHttpServer::listen(const Address& address, Metrics& metrics) -> bool
{
    return serveConnections(m_acceptor, address, metrics,
        [this](net::ip::tcp::socket socket) { return serve(std::move(socket)); });
}

auto SimpleHttpServer::serve(net::ip::tcp::socket socket) -> Awaitable<void>
{
    auto stream = tcp_stream(std::move(socket));
    auto buffer = beast::flat_buffer();
    for (;;) {
        auto error = ErrorCode();
        auto parser = http::request_parser<http::empty_body>();
        parser.header_limit(maxHeaderBytes);
        stream.expires_after(idleTimeout);
        co_await http::async_read(stream, buffer, parser, errorTo(error));
        if (error)
            co_return;
        const auto& request = parser.get();
        auto answer = SimpleHttpAnswer();
        if (request.method() == http::verb::get)
            answer = m_handler(std::string(request.target()));
        auto response = http::response<http::string_body>();
        response.version(11);
        response.result(answer.m_status);
        response.set(http::field::content_type, answer.m_contentType);
        response.keep_alive(request.keep_alive());
        response.body() = std::move(answer.m_body);
        response.prepare_payload();
        co_await http::async_write(stream, response, errorTo(error));
        if (error || !request.keep_alive())
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
