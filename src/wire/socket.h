// TCP sockets that close themselves, with the few blocking calls the frames need.
#pragma once

#include "marigoldladder/settings.h"
#include "marigoldladder/verdict.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace marigoldladder {

// Owns a file descriptor. `shutDown` may be called by any thread and wakes blocked calls.
class Socket {
public:
    Socket() = default;
    explicit Socket(int descriptor);
    Socket(Socket&&) noexcept;
    auto operator=(Socket&&) noexcept -> Socket&;
    Socket(const Socket&) = delete;
    auto operator=(const Socket&) -> Socket& = delete;
    ~Socket();

    auto descriptor() const -> int { return m_descriptor; }
    auto valid() const -> bool { return m_descriptor >= 0; }
    auto shutDown() const -> void;

private:
    int m_descriptor = -1;
};

// What a blocking read came to.
enum class ReadOutcome {
    Complete,
    TimedOut, // Nothing arrived within the time-out; the stream is still in step.
    Closed,
};

// Listens on the address; port 0 lets the system choose.
auto listenOn(const Address&) -> Result<Socket>;

// Returns the address that a listening socket is bound to.
auto boundAddress(const Socket&) -> Address;

// Waits for a connection; an invalid socket when the listener was shut down.
auto acceptFrom(const Socket& listener) -> Socket;

auto connectTo(const Address&, std::chrono::milliseconds timeout) -> Result<Socket>;

// Bounds each later send and receive on the socket.
auto setTimeouts(const Socket&, std::chrono::milliseconds receive, std::chrono::milliseconds send) -> void;

// Sends all bytes; false when the connection is lost or the send time-out passed.
auto sendAll(const Socket&, const std::uint8_t* bytes, std::size_t size) -> bool;

// Receives exactly `size` bytes. A time-out after the first byte counts as `Closed`.
auto receiveExactly(const Socket&, std::uint8_t* bytes, std::size_t size) -> ReadOutcome;

using SocketDeadline = std::chrono::steady_clock::time_point;

// Receives exactly `size` bytes before the deadline, however they are spread; false when that fails.
auto receiveBefore(const Socket&, SocketDeadline, std::uint8_t* bytes, std::size_t size) -> bool;

} // namespace marigoldladder
