// Sends and receives the datagrams between nodes. Any datagram may be lost; malformed ones are discarded.
#pragma once

#include "relay/task.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <string_view>

namespace marigoldladder::relay::messages {
struct Datagram;
} // namespace marigoldladder::relay::messages

namespace marigoldladder::relay {

class PeerSocket {
public:
    // Receives a verified datagram, its bytes and the sender's address.
    using Handler
        = std::function<void(const messages::Datagram&, std::string_view bytes, const Address& from)>;

    explicit PeerSocket(Executor);

    // Binds the address and starts to receive datagrams. Returns false, and logs the error, when it can't
    // bind; it may be tried again then.
    auto open(const Address&, Metrics&, Handler) -> bool;

    auto send(const Address&, const std::string& datagram) -> void;

private:
    auto receive() -> Awaitable<void>;

    Executor m_executor;
    Handler m_handler;
    net::ip::udp::socket m_socket;
    std::array<char, 65'536> m_received {};
};

} // namespace marigoldladder::relay
