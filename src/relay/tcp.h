// Helpers for TCP connections on the event loop.
#pragma once

#include <utility> // Asio 1.74 uses std::exchange in its coroutines without including it.

#include "marigoldladder/settings.h"
#include "relay/object_store.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <string_view>

namespace marigoldladder::relay {

namespace net = boost::asio;
namespace beast = boost::beast;
using beast::tcp_stream;
using ErrorCode = boost::system::error_code;
using Executor = net::any_io_executor;

// Bound of a buffer for answers: more than any unit of one that a parser takes at once, such as its head.
inline constexpr auto answerBufferBytes = std::size_t { 128 } << 10;

// Completion token of coroutines that check the error themselves instead of catching an exception.
inline auto errorTo(ErrorCode& error)
{
    return net::redirect_error(net::use_awaitable, error);
}

// Returns the endpoint of an address, or nothing if its host is not an IP address.
auto endpointOf(const Address&) -> std::optional<net::ip::tcp::endpoint>;

// Ends the connection if its peer is unreachable for this time, by unacknowledged data or missed keep-alive
// probes.
auto setDeadPeerTimeout(net::ip::tcp::socket&, std::chrono::milliseconds) -> void;

// Has the connection end by a reset when it is closed, so that its peer gets nothing of what wasn't delivered
// by then.
auto resetOnClose(net::ip::tcp::socket&) -> void;

// Whether a connection is open and no data has arrived on it.
auto isIdle(net::ip::tcp::socket&) -> bool;

// Whether a connection was closed by its peer, or broke, and all data that arrived before has been read.
auto isClosed(net::ip::tcp::socket&) -> bool;

// Sends what the kernel takes of the two parts at once, and returns how many bytes; 0 if it takes none now or
// the connection is broken.
auto sendNow(net::ip::tcp::socket&, std::string_view first, std::string_view second) -> std::size_t;

// Waits for the time given; returns early only if the event loop stops.
auto sleepFor(std::chrono::milliseconds) -> Awaitable<void>;

// Opens a connection within the timeout, which doesn't bind what follows; sets the error on failure.
auto connectTo(tcp_stream&, const Address&, std::chrono::milliseconds timeout, ErrorCode&) -> Awaitable<void>;

// The same from this machine's address `localHost`, by which the other end recognises it.
auto connectFrom(tcp_stream&, const std::string& localHost, const Address&, std::chrono::milliseconds timeout,
    ErrorCode&) -> Awaitable<void>;

} // namespace marigoldladder::relay
