#include "relay/tcp.h"

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace marigoldladder::relay {

namespace {

    auto setOption(int socket, int level, int option, int value) -> void
    {
        // A connection without the option still works, but takes longer to detect an unreachable peer.
        (void)::setsockopt(socket, level, option, &value, sizeof(value));
    }

    enum class Arrival {
        Nothing, // Yet.
        Data,
        End, // The peer closed the connection, or it broke.
    };

    // Returns what a read would find now. The data stay in the socket, and so does the error of a broken
    // connection: a read that didn't find it would take the break for an end.
    auto nextArrival(net::ip::tcp::socket& socket) -> Arrival
    {
        auto entry = pollfd { socket.native_handle(), POLLIN, 0 };
        if (!socket.is_open())
            return Arrival::End;
        if (::poll(&entry, 1, 0) <= 0)
            return Arrival::Nothing;
        if ((entry.revents & POLLERR) != 0)
            return Arrival::End;
        auto byte = char();
        const auto length = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (length > 0)
            return Arrival::Data;
        const auto wouldWait = length < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        return wouldWait ? Arrival::Nothing : Arrival::End;
    }

    // Whether the kernel chose the port that is called as the connection's own, as nobody listens there.
    auto isToItself(const net::ip::tcp::socket& socket, ErrorCode& error) -> bool
    {
        const auto local = socket.local_endpoint(error);
        return !error && local == socket.remote_endpoint(error);
    }

} // namespace

auto endpointOf(const Address& address) -> std::optional<net::ip::tcp::endpoint>
{
    auto error = ErrorCode();
    const auto ip = net::ip::make_address(address.m_host, error);
    if (error)
        return std::nullopt;
    return net::ip::tcp::endpoint(ip, static_cast<unsigned short>(address.m_port));
}

auto setDeadPeerTimeout(net::ip::tcp::socket& socket, std::chrono::milliseconds bound) -> void
{
    constexpr auto probes = 2;
    const auto handle = socket.native_handle();
    const auto seconds = std::max(1, static_cast<int>(bound.count() / 1'000 / probes));
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, probes);
    setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(bound.count()));
}

auto resetOnClose(net::ip::tcp::socket& socket) -> void
{
    auto ignored = ErrorCode(); // Fails only on a closed socket.
    socket.set_option(net::socket_base::linger(true, 0), ignored);
}

auto isIdle(net::ip::tcp::socket& socket) -> bool
{
    return nextArrival(socket) == Arrival::Nothing;
}

auto isClosed(net::ip::tcp::socket& socket) -> bool
{
    return nextArrival(socket) == Arrival::End;
}

auto sendNow(net::ip::tcp::socket& socket, std::string_view first, std::string_view second) -> std::size_t
{
    const auto part = [](std::string_view bytes) {
        return iovec { const_cast<char*>(bytes.data()), bytes.size() };
    };
    auto parts = std::array { part(first), part(second) };
    auto message = msghdr();
    message.msg_iov = parts.data();
    message.msg_iovlen = parts.size();
    const auto sent = ::sendmsg(socket.native_handle(), &message, MSG_NOSIGNAL | MSG_DONTWAIT);
    return sent > 0 ? static_cast<std::size_t>(sent) : 0;
}

auto sleepFor(std::chrono::milliseconds time) -> Awaitable<void>
{
    auto error = ErrorCode();
    auto timer = net::steady_timer(co_await net::this_coro::executor, time);
    co_await timer.async_wait(errorTo(error));
}

auto connectTo(tcp_stream& stream, const Address& address, std::chrono::milliseconds timeout,
    ErrorCode& error) -> Awaitable<void>
{
    co_await connectFrom(stream, std::string(), address, timeout, error);
}

auto connectFrom(tcp_stream& stream, const std::string& localHost, const Address& address,
    std::chrono::milliseconds timeout, ErrorCode& error) -> Awaitable<void>
{
    const auto endpoint = endpointOf(address);
    const auto local = localHost.empty() ? std::nullopt : endpointOf({ localHost, 0 });
    if (!endpoint || (!local && !localHost.empty())) {
        error = net::error::make_error_code(net::error::invalid_argument);
        co_return;
    }
    stream.socket().open(endpoint->protocol(), error);
    // Else the closed connection would keep its port from a listener for a minute.
    if (!error)
        stream.socket().set_option(net::socket_base::reuse_address(true), error);
    if (!error && local)
        stream.socket().bind(*local, error);
    if (error)
        co_return;
    stream.expires_after(timeout);
    co_await stream.async_connect(*endpoint, errorTo(error));
    if (!error && isToItself(stream.socket(), error)) {
        resetOnClose(stream.socket()); // The port is free at once.
        stream.close();
        error = net::error::make_error_code(net::error::connection_refused);
    }
    if (error)
        co_return;
    stream.expires_never();
    stream.socket().set_option(net::ip::tcp::no_delay(true), error);
}

} // namespace marigoldladder::relay
