#include "objects/bounded_server.h"

#include "core/connection_room.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <mutex>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto noSocket = -1;
    constexpr auto closeCheck = std::chrono::milliseconds(200); // How soon an idle connection sees the end.
    // For a client to read the last answer; a close with unread bytes would reset the connection.
    constexpr auto lingerTime = std::chrono::milliseconds(200);
    constexpr auto lingerReads = 64; // Of what the client goes on sending.
    constexpr auto readBytes = std::size_t { 4'096 };
    constexpr auto copiesOfBody = std::size_t { 2 }; // The library's string grows by doubling.

    thread_local auto servedSocket = noSocket;
    thread_local auto refusesConnection = false; // The connection that this thread is given next.

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

    auto toMilliseconds(time_t seconds, time_t microseconds) -> std::chrono::milliseconds
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::seconds(seconds) + std::chrono::microseconds(microseconds));
    }

    // Reads on for a moment what nobody wants.
    auto discardRest(int socket) -> void
    {
        auto bytes = std::array<char, readBytes> {};
        ::shutdown(socket, SHUT_WR);
        for (auto reads = 0; reads < lingerReads && waitFor(socket, POLLIN, lingerTime); ++reads) {
            if (recv(socket, bytes.data(), bytes.size(), MSG_DONTWAIT) <= 0)
                return;
        }
    }

} // namespace

struct BoundedServer::Room {
    explicit Room(const ServerBounds& bounds)
        : m_bounds(bounds)
        , m_places({ bounds.m_connections, bounds.m_heldBytes })
    {
    }

    const ServerBounds m_bounds;
    std::mutex m_mutex; // Guards what follows.
    ConnectionRoom m_places; // Of connections that have a thread.
    std::size_t m_open = 0; // Connections that have a thread or wait for one.
};

// Gives each connection a thread, and makes sure that one is or becomes free for it.
class BoundedServer::Queue : public httplib::TaskQueue {
public:
    explicit Queue(Room& room)
        : m_room(room)
        , m_threads(room.m_bounds.m_connections)
    {
    }

    auto enqueue(std::function<void()> serve) -> void override
    {
        if (!admit()) {
            refusesConnection = true;
            serve(); // Closes it.
            refusesConnection = false;
            return;
        }
        m_threads.enqueue([this, serve = std::move(serve)] {
            serve();
            const auto lock = std::lock_guard(m_room.m_mutex);
            --m_room.m_open;
        });
    }

    auto shutdown() -> void override { m_threads.shutdown(); }

private:
    auto admit() -> bool
    {
        const auto lock = std::lock_guard(m_room.m_mutex);
        if (m_room.m_open >= m_room.m_bounds.m_connections && !m_room.m_places.closeOne())
            return false;
        ++m_room.m_open;
        return true;
    }

    Room& m_room;
    httplib::ThreadPool m_threads;
};

// A connection's place, and how far its requests have come.
class BoundedServer::GuardedConnection {
public:
    GuardedConnection(Room& room, socket_t socket)
        : m_room(room)
        , m_place(room.m_places.budget())
    {
        m_place.m_giveUp = [socket] { ::shutdown(socket, SHUT_RDWR); };
        m_place.m_close = m_place.m_giveUp;
        enterPhase(m_place, ConnectionPhase::Idle);
        const auto lock = std::lock_guard(m_room.m_mutex);
        m_room.m_places.add(m_place);
    }

    ~GuardedConnection()
    {
        const auto lock = std::lock_guard(m_room.m_mutex);
        m_room.m_places.remove(m_place);
        m_place.m_memory.release();
    }

    GuardedConnection(const GuardedConnection&) = delete;
    auto operator=(const GuardedConnection&) -> GuardedConnection& = delete;

    // Follows the bytes that the library is about to get. Returns false if it must not get them.
    auto mayTake(std::string_view bytes) -> bool
    {
        const auto isSound = takeBytes(m_framing, m_room.m_bounds.m_request, bytes);
        const auto lock = std::lock_guard(m_room.m_mutex);
        if (!isSound)
            return false;
        if (isBetweenRequests()) {
            m_place.m_hasServed = true;
            enterPhase(m_place, ConnectionPhase::Running);
            return true;
        }
        if (m_place.m_phase != ConnectionPhase::Reading)
            enterPhase(m_place, ConnectionPhase::Reading);
        return m_room.m_places.reserve(m_place, copiesOfBody * m_framing.m_bodyBytes);
    }

    // A request was answered, and the next one is waited for.
    auto beginIdle() -> void
    {
        const auto lock = std::lock_guard(m_room.m_mutex);
        m_place.m_memory.release();
        enterPhase(m_place, ConnectionPhase::Idle);
    }

    auto isBetweenRequests() const -> bool { return marigoldladder::isBetweenRequests(m_framing); }

private:
    Room& m_room;
    ConnectionPlace m_place;
    RequestFraming m_framing;
};

// The server's side of a connection, with its time-outs. What exceeds the bounds never comes to the library,
// for which the connection is broken then.
class BoundedServer::ServerStream : public httplib::Stream {
public:
    ServerStream(socket_t socket, GuardedConnection& connection, std::chrono::milliseconds readTimeout,
        std::chrono::milliseconds writeTimeout)
        : m_socket(socket)
        , m_connection(connection)
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
        return m_connection.mayTake({ bytes, count }) ? static_cast<ssize_t>(count) : -1;
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
    GuardedConnection& m_connection;
    std::chrono::milliseconds m_readTimeout;
    std::chrono::milliseconds m_writeTimeout;
    std::array<char, 4096> m_buffer {};
    std::size_t m_taken = 0;
    std::size_t m_filled = 0;
};

auto callerHungUp() -> bool
{
    if (servedSocket == noSocket)
        return false;
    auto byte = char {};
    const auto received = recv(servedSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

BoundedServer::BoundedServer(const ServerBounds& bounds)
    : m_room(std::make_unique<Room>(bounds))
{
    new_task_queue = [this] { return new Queue(*m_room); };
    set_payload_max_length(bounds.m_request.m_bodyBytes);
}

BoundedServer::~BoundedServer() = default;

// Returns whether the last request was answered.
auto BoundedServer::serve(socket_t socket, GuardedConnection& connection) -> bool
{
    auto stream = ServerStream(socket, connection, toMilliseconds(read_timeout_sec_, read_timeout_usec_),
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
        // What is left of a request would be taken for the next one.
        if (!served || !connection.isBetweenRequests())
            break;
        connection.beginIdle();
    }
    return served;
}

auto BoundedServer::process_and_close_socket(socket_t socket) -> bool
{
    auto served = false;
    if (!refusesConnection) {
        auto connection = GuardedConnection(*m_room, socket);
        servedSocket = socket;
        served = serve(socket, connection);
        servedSocket = noSocket;
        if (!connection.isBetweenRequests())
            discardRest(socket);
    }
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    return served;
}

} // namespace marigoldladder
