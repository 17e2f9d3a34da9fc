#include "platform/fake_upstream.h"

#include "relay/listener.h"
#include "relay/relay_fixtures.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <limits>
#include <nlohmann/json.hpp>

namespace marigoldladder::platform {

using namespace relay;
namespace http = boost::beast::http;

namespace {

    // Only this process uses the host, so that no node of another one sends requests to a port that an
    // upstream of it has closed.
    constexpr auto hostNumber = 201;

} // namespace

auto withReport(std::shared_ptr<const std::optional<std::uint64_t>> startedAt,
    std::function<UpstreamReply(const UpstreamRequest&)> reply)
    -> std::function<UpstreamReply(const UpstreamRequest&)>
{
    return [startedAt = std::move(startedAt), reply = std::move(reply)](const UpstreamRequest& request) {
        if (request.target() != "/report")
            return reply(request);
        if (!*startedAt)
            return UpstreamReply { "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n" };
        const auto body
            = nlohmann::json { { "models", nlohmann::json::array() }, { "born", **startedAt } }.dump();
        return UpstreamReply { "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body };
    };
}

FakeUpstream::FakeUpstream(
    boost::asio::io_context& context, std::function<UpstreamReply(const UpstreamRequest&)> reply)
    : m_context(context)
    , m_reply(std::move(reply))
    , m_acceptor(context, net::ip::tcp::endpoint(net::ip::make_address(loopbackHost(hostNumber)), 0))
{
    auto serveConnection = [this](boost::asio::ip::tcp::socket socket) {
        net::co_spawn(m_context, serve(std::move(socket)), net::detached);
    };
    net::co_spawn(m_context, acceptConnections(m_acceptor, std::move(serveConnection)), net::detached);
}

auto FakeUpstream::address() const -> Address
{
    return Address { loopbackHost(hostNumber), m_acceptor.local_endpoint().port() };
}

auto FakeUpstream::crash() -> void
{
    auto error = ErrorCode();
    m_acceptor.close(error);
    resetConnections();
}

auto FakeUpstream::resetConnections() -> void
{
    auto error = ErrorCode(); // Of connections that have ended.
    for (const auto& entry : m_connections) {
        const auto connection = entry.lock();
        if (!connection)
            continue;
        connection->socket().set_option(net::socket_base::linger(true, 0), error);
        connection->socket().close(error);
    }
}

auto FakeUpstream::serve(boost::asio::ip::tcp::socket socket) -> Awaitable<void>
{
    auto ignored = ErrorCode(); // The caller may have gone.
    socket.set_option(net::ip::tcp::no_delay(true), ignored); // Events must not wait for each other.
    const auto connection = std::make_shared<tcp_stream>(std::move(socket));
    m_connections.push_back(connection);
    const auto connectionNumber = std::to_string(m_connections.size());
    auto& stream = *connection;
    auto buffer = beast::flat_buffer();
    auto goesOn = true;
    while (goesOn) {
        auto error = ErrorCode();
        auto parser = http::request_parser<http::string_body>();
        parser.body_limit(std::numeric_limits<std::uint64_t>::max());
        co_await http::async_read_header(stream, buffer, parser, errorTo(error));
        const auto isEarly = !error && parser.get().count(answersEarlyField) > 0;
        if (!error && !isEarly)
            co_await http::async_read(stream, buffer, parser, errorTo(error));
        if (error)
            co_return;
        auto request = parser.release();
        request.set(connectionNumberField, connectionNumber);
        m_requests.push_back(request);
        const auto reply = m_reply(request);
        if (reply.m_crashes) {
            crash();
            co_return;
        }
        error = co_await answer(stream, reply);
        if (reply.m_crashesAfterwards) {
            crash();
            co_return;
        }
        if (reply.m_resets)
            stream.socket().set_option(net::socket_base::linger(true, 0), error);
        goesOn = !error && !isEarly && !reply.m_closes && !reply.m_resets;
    }
}

auto FakeUpstream::answer(tcp_stream& stream, const UpstreamReply& reply) -> Awaitable<ErrorCode>
{
    auto error = ErrorCode();
    co_await net::async_write(stream, net::buffer(reply.m_bytes), errorTo(error));
    for (const auto& later : reply.m_later) {
        co_await sleepFor(later.m_pause);
        if (!error)
            co_await net::async_write(stream, net::buffer(later.m_bytes), errorTo(error));
    }
    while (!reply.m_endless.empty() && !error)
        co_await net::async_write(stream, net::buffer(reply.m_endless), errorTo(error));
    co_return error;
}

} // namespace marigoldladder::platform
