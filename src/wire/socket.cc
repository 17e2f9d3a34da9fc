#include "wire/socket.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto listenBacklog = 256;
    constexpr auto acceptRetryPause = std::chrono::milliseconds(10);
    constexpr auto millisecondsPerSecond = 1000;
    constexpr auto microsecondsPerMillisecond = 1000;

    auto socketAddress(const Address& address) -> Result<sockaddr_in>
    {
        auto native = sockaddr_in {};
        native.sin_family = AF_INET;
        native.sin_port = htons(static_cast<std::uint16_t>(address.m_port));
        if (inet_pton(AF_INET, address.m_host.c_str(), &native.sin_addr) != 1)
            return notRun(FailureType::BadRequest, "\"" + address.m_host + "\" is not an IP number");
        return native;
    }

    auto setFlag(int descriptor, int level, int option) -> void
    {
        const auto on = 1;
        setsockopt(descriptor, level, option, &on, sizeof on);
    }

    auto toTimeval(std::chrono::milliseconds duration) -> timeval
    {
        const auto count = duration.count();
        return { count / millisecondsPerSecond,
            (count % millisecondsPerSecond) * microsecondsPerMillisecond };
    }

    auto waitUntilConnected(int descriptor, std::chrono::milliseconds timeout) -> bool
    {
        auto waiting = pollfd { descriptor, POLLOUT, 0 };
        if (poll(&waiting, 1, static_cast<int>(timeout.count())) != 1)
            return false;
        auto error = 0;
        auto size = socklen_t { sizeof error };
        return getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
    }

    // Waits until bytes can be read; false when the deadline passed before.
    auto waitUntilReadable(int descriptor, SocketDeadline deadline) -> bool
    {
        const auto left
            = std::chrono::ceil<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
        auto waiting = pollfd { descriptor, POLLIN, 0 };
        return left.count() > 0 && poll(&waiting, 1, static_cast<int>(left.count())) == 1;
    }

    auto setBlocking(int descriptor) -> void
    {
        auto off = 0;
        ioctl(descriptor, FIONBIO, &off);
    }

} // namespace

Socket::Socket(int descriptor)
    : m_descriptor(descriptor)
{
}

Socket::Socket(Socket&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

auto Socket::operator=(Socket&& other) noexcept -> Socket&
{
    std::swap(m_descriptor, other.m_descriptor);
    return *this;
}

Socket::~Socket()
{
    if (valid())
        close(m_descriptor);
}

auto Socket::shutDown() const -> void
{
    if (valid())
        shutdown(m_descriptor, SHUT_RDWR);
}

auto listenOn(const Address& address) -> Result<Socket>
{
    const auto native = socketAddress(address);
    if (!native)
        return native.error();
    auto listener = Socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    setFlag(listener.descriptor(), SOL_SOCKET, SO_REUSEADDR);
    const auto* generic = reinterpret_cast<const sockaddr*>(&native.value());
    if (bind(listener.descriptor(), generic, sizeof(sockaddr_in)) != 0
        || listen(listener.descriptor(), listenBacklog) != 0)
        return notRun(FailureType::Unavailable,
            "can't listen on " + formatAddress(address) + ": " + std::strerror(errno));
    return listener;
}

auto boundAddress(const Socket& socket) -> Address
{
    auto native = sockaddr_in {};
    auto size = socklen_t { sizeof native };
    getsockname(socket.descriptor(), reinterpret_cast<sockaddr*>(&native), &size);
    auto host = std::array<char, INET_ADDRSTRLEN> {};
    inet_ntop(AF_INET, &native.sin_addr, host.data(), host.size());
    return Address { host.data(), ntohs(native.sin_port) };
}

auto acceptFrom(const Socket& listener) -> Socket
{
    while (true) {
        const auto descriptor = accept4(listener.descriptor(), nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor >= 0) {
            setFlag(descriptor, IPPROTO_TCP, TCP_NODELAY);
            return Socket(descriptor);
        }
        const auto passing = errno == EINTR || errno == ECONNABORTED || errno == EMFILE || errno == ENFILE;
        if (!passing)
            return {};
        std::this_thread::sleep_for(acceptRetryPause);
    }
}

auto connectTo(const Address& address, std::chrono::milliseconds timeout) -> Result<Socket>
{
    const auto native = socketAddress(address);
    if (!native)
        return native.error();
    auto connection = Socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    setFlag(connection.descriptor(), IPPROTO_TCP, TCP_NODELAY);
    // Else the closed connection would keep its port from a listener for a minute.
    setFlag(connection.descriptor(), SOL_SOCKET, SO_REUSEADDR);
    const auto* generic = reinterpret_cast<const sockaddr*>(&native.value());
    const auto started = connect(connection.descriptor(), generic, sizeof(sockaddr_in));
    const auto pending = started != 0 && errno == EINPROGRESS;
    if ((started != 0 && !pending) || (pending && !waitUntilConnected(connection.descriptor(), timeout)))
        return notRun(FailureType::Unavailable, "can't connect to " + formatAddress(address));
    setBlocking(connection.descriptor());
    return connection;
}

auto setTimeouts(const Socket& socket, std::chrono::milliseconds receive, std::chrono::milliseconds send)
    -> void
{
    const auto receiveTime = toTimeval(receive);
    const auto sendTime = toTimeval(send);
    setsockopt(socket.descriptor(), SOL_SOCKET, SO_RCVTIMEO, &receiveTime, sizeof receiveTime);
    setsockopt(socket.descriptor(), SOL_SOCKET, SO_SNDTIMEO, &sendTime, sizeof sendTime);
}

auto sendAll(const Socket& socket, const std::uint8_t* bytes, std::size_t size) -> bool
{
    auto sent = std::size_t { 0 };
    while (sent < size) {
        const auto count = send(socket.descriptor(), bytes + sent, size - sent, MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

auto receiveExactly(const Socket& socket, std::uint8_t* bytes, std::size_t size) -> ReadOutcome
{
    auto received = std::size_t { 0 };
    while (received < size) {
        const auto count = recv(socket.descriptor(), bytes + received, size - received, 0);
        if (count < 0 && errno == EINTR)
            continue;
        const auto timedOut = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        if (timedOut && received == 0)
            return ReadOutcome::TimedOut;
        if (count <= 0)
            return ReadOutcome::Closed;
        received += static_cast<std::size_t>(count);
    }
    return ReadOutcome::Complete;
}

auto receiveBefore(const Socket& socket, SocketDeadline deadline, std::uint8_t* bytes, std::size_t size)
    -> bool
{
    auto received = std::size_t { 0 };
    while (received < size) {
        if (!waitUntilReadable(socket.descriptor(), deadline))
            return false;
        const auto count = recv(socket.descriptor(), bytes + received, size - received, MSG_DONTWAIT);
        if (count < 0 && (errno == EINTR || errno == EAGAIN))
            continue;
        if (count <= 0)
            return false;
        received += static_cast<std::size_t>(count);
    }
    return true;
}

} // namespace marigoldladder
