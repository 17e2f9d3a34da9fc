#include "serving/stream_server.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace marigoldladder {

namespace {

    constexpr auto noSocket = -1;
    constexpr auto closeCheck = std::chrono::milliseconds(200); // How soon an idle connection sees the end.

    thread_local auto servedSocket = noSocket;

    auto waitFor(int descriptor, short events, std::chrono::milliseconds atMost) -> bool
    {
        auto entry = pollfd { descriptor, events, 0 };
        return poll(&entry, 1, static_cast<int>(atMost.count())) > 0;
    }

    auto readAddress(const sockaddr_storage& address, std::string& ip, int& port) -> void
    {
        auto text = std::array<char, INET6_ADDRSTRLEN> {};
        if (address.ss_family == AF_INET) {
            const auto& plain = reinterpret_cast<const sockaddr_in&>(address);
            inet_ntop(AF_INET, &plain.sin_addr, text.data(), text.size());
            port = ntohs(plain.sin_port);
        } else if (address.ss_family == AF_INET6) {
            const auto& plain = reinterpret_cast<const sockaddr_in6&>(address);
            inet_ntop(AF_INET6, &plain.sin6_addr, text.data(), text.size());
            port = ntohs(plain.sin6_port);
        }
        ip = text.data();
    }

    // The server's side of a connection, with its time-outs.
    class ServerStream : public httplib::Stream {
    public:
        ServerStream(
            socket_t socket, std::chrono::milliseconds readTimeout, std::chrono::milliseconds writeTimeout)
            : m_socket(socket)
            , m_readTimeout(readTimeout)
            , m_writeTimeout(writeTimeout)
        {
        }

        auto is_readable() const -> bool override { return waitFor(m_socket, POLLIN, m_readTimeout); }
        auto is_writable() const -> bool override { return waitFor(m_socket, POLLOUT, m_writeTimeout); }

        auto read(char* bytes, size_t size) -> ssize_t override
        {
            if (m_taken == m_filled) {
                if (!is_readable())
                    return -1;
                const auto received = receive();
                if (received <= 0)
                    return received;
                m_taken = 0;
                m_filled = static_cast<std::size_t>(received);
            }
            const auto count = std::min(size, m_filled - m_taken);
            std::copy_n(m_buffer.begin() + static_cast<std::ptrdiff_t>(m_taken), count, bytes);
            m_taken += count;
            return static_cast<ssize_t>(count);
        }

        auto write(const char* bytes, size_t size) -> ssize_t override
        {
            if (!is_writable())
                return -1;
            auto sent = ssize_t { 0 };
            do {
                sent = send(m_socket, bytes, size, MSG_NOSIGNAL);
            } while (sent < 0 && errno == EINTR);
            return sent;
        }

        auto get_remote_ip_and_port(std::string& ip, int& port) const -> void override
        {
            auto address = sockaddr_storage {};
            auto size = static_cast<socklen_t>(sizeof(address));
            if (getpeername(m_socket, reinterpret_cast<sockaddr*>(&address), &size) == 0)
                readAddress(address, ip, port);
        }

        auto get_local_ip_and_port(std::string& ip, int& port) const -> void override
        {
            auto address = sockaddr_storage {};
            auto size = static_cast<socklen_t>(sizeof(address));
            if (getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size) == 0)
                readAddress(address, ip, port);
        }

        auto socket() const -> socket_t override { return m_socket; }

        auto hasBuffered() const -> bool { return m_taken < m_filled; }

    private:
        auto receive() -> ssize_t
        {
            auto received = ssize_t { 0 };
            do {
                received = recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
            } while (received < 0 && errno == EINTR);
            return received;
        }

        socket_t m_socket;
        std::chrono::milliseconds m_readTimeout;
        std::chrono::milliseconds m_writeTimeout;
        std::array<char, 4096> m_buffer {};
        std::size_t m_taken = 0;
        std::size_t m_filled = 0;
    };

    auto toMilliseconds(time_t seconds, time_t microseconds) -> std::chrono::milliseconds
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::seconds(seconds) + std::chrono::microseconds(microseconds));
    }

} // namespace

auto callerHungUp() -> bool
{
    if (servedSocket == noSocket)
        return false;
    auto byte = char {};
    const auto received = recv(servedSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

auto StreamServer::process_and_close_socket(socket_t socket) -> bool
{
    servedSocket = socket;
    auto stream = ServerStream(socket, toMilliseconds(read_timeout_sec_, read_timeout_usec_),
        toMilliseconds(write_timeout_sec_, write_timeout_usec_));
    const auto idleTimeout = std::chrono::seconds(keep_alive_timeout_sec_);
    auto served = false;
    auto closed = false;
    for (auto left = keep_alive_max_count_; left > 0 && !closed; --left) {
        auto idle = std::chrono::milliseconds(0);
        while (!stream.hasBuffered() && svr_sock_ != INVALID_SOCKET && idle < idleTimeout
            && !waitFor(socket, POLLIN, closeCheck))
            idle += closeCheck;
        if (svr_sock_ == INVALID_SOCKET || idle >= idleTimeout)
            break;
        served = process_request(stream, left == 1, closed, nullptr);
        if (!served)
            break;
    }
    servedSocket = noSocket;
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    return served;
}

} // namespace marigoldladder
