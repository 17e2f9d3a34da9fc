// Opens a listening socket.
#pragma once

#include "relay/tcp.h"

#include <boost/asio/ip/tcp.hpp>

namespace marigoldladder::relay {

// Opens `acceptor` at the address; on failure logs why and returns false.
auto openListener(net::ip::tcp::acceptor&, const Address&) -> bool;

} // namespace marigoldladder::relay
