// Opens a listening socket and accepts connections.
#pragma once

#include "relay/task.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>

namespace marigoldladder::relay {

// Opens the acceptor at the address; returns false on failure and logs the reason. It may be tried again.
auto openListener(net::ip::tcp::acceptor&, const Address&) -> bool;

// Stops listening: connections that nobody has accepted are reset, and further ones are refused.
auto closeListener(net::ip::tcp::acceptor&) -> void;

// Passes each accepted connection to `serve` until the acceptor is closed. After a failed accept, for example
// for want of file descriptors, it logs the reason and pauses; a port that was closed from outside is opened
// again. The acceptor must outlive the coroutine.
auto acceptConnections(net::ip::tcp::acceptor&, std::function<void(net::ip::tcp::socket)> serve)
    -> Awaitable<void>;

// Opens the acceptor at the address and runs `serve` for each accepted connection until the acceptor is
// closed. Returns false if it can't be opened, and logs the reason.
auto serveConnections(net::ip::tcp::acceptor&, const Address&, Metrics&,
    std::function<Awaitable<void>(net::ip::tcp::socket)> serve) -> bool;

} // namespace marigoldladder::relay
