// The datagrams between nodes. Any of them may be lost; those that can't be read are dropped.
#pragma once

#include "relay/tcp.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <string_view>

namespace marigoldladder::relay::messages {
struct Datagram;
struct PeerMessageUnion;
} // namespace marigoldladder::relay::messages

namespace marigoldladder::relay {

class PeerSocket {
public:
    // Takes a datagram that was verified, its bytes, and where it came from.
    using Handler
        = std::function<void(const messages::Datagram&, std::string_view bytes, const Address& from)>;

    explicit PeerSocket(Executor);

    // Opens the port and takes datagrams from then on; false when the port can't be had, which is logged.
    auto open(const Address&, Handler) -> bool;

    auto send(const Address&, const std::string& datagram) -> void;

private:
    auto receive() -> Awaitable<void>;

    Executor m_executor;
    Handler m_handler;
    net::ip::udp::socket m_socket;
    std::array<char, 65'536> m_received {};
};

// Returns the bytes of a datagram that holds this message.
auto encodeDatagram(const messages::PeerMessageUnion&) -> std::string;

} // namespace marigoldladder::relay
