// Shared pieces of the event loop's TCP connections.
#pragma once

#include <utility> // Asio 1.74 uses std::exchange in its coroutines without including it.

#include "marigoldladder/settings.h"
#include "relay/object_store.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>

namespace marigoldladder::relay {

namespace net = boost::asio;
namespace beast = boost::beast;
using beast::tcp_stream;
using ErrorCode = boost::system::error_code;
using Executor = net::any_io_executor;

// For coroutines that look at the error themselves.
inline auto errorTo(ErrorCode& error)
{
    return net::redirect_error(net::use_awaitable, error);
}

// Returns the end point of an address, or nothing when its host is no IP number.
auto endpointOf(const Address&) -> std::optional<net::ip::tcp::endpoint>;

// Bounds how long a connection whose peer has lost it stays unnoticed: unacknowledged data and missed
// keep-alive probes end it.
auto setDeadPeerTimeout(net::ip::tcp::socket&, std::chrono::milliseconds) -> void;

// Whether a connection that should be idle still is: open, and nothing has come in.
auto isIdle(net::ip::tcp::socket&) -> bool;

// Waits; returns early only when the loop stops.
auto sleepFor(std::chrono::milliseconds) -> Awaitable<void>;

// Calls a function on the loop after a time.
auto runAfter(const Executor&, std::chrono::milliseconds, std::function<void()>) -> void;

// Opens a connection within the time given; on failure the error is set.
auto connectTo(tcp_stream&, const Address&, std::chrono::milliseconds timeout, ErrorCode&) -> Awaitable<void>;

} // namespace marigoldladder::relay
