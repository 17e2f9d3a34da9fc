// Opens a listening socket and takes the connections that come.
#pragma once

#include "relay/tcp.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>

namespace marigoldladder::relay {

// Opens `acceptor` at the address; on failure logs why and returns false.
auto openListener(net::ip::tcp::acceptor&, const Address&) -> bool;

// Hands each connection to `serve`, until the acceptor is closed. After a failed accept, such as for want of
// descriptors, it logs the reason and waits a moment. The acceptor has to live as long.
auto acceptConnections(net::ip::tcp::acceptor&, std::function<void(net::ip::tcp::socket)> serve)
    -> Awaitable<void>;

} // namespace marigoldladder::relay
