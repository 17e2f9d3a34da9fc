// Serves other nodes' calls over TCP at this node's port for peers: changes of objects, and tunnels to
// upstreams.
#pragma once

#include "relay/listener.h"
#include "relay/node_capacity.h"
#include "relay/open_connections.h"
#include "relay/tcp.h"

#include <functional>
#include <memory>
#include <string>

namespace marigoldladder::relay {

// Handles a connection whose first message has been read.
using PeerCallHandler = std::function<Awaitable<void>(std::shared_ptr<tcp_stream>, std::string message)>;

class PeerServer {
public:
    PeerServer(const Executor&, const NodeCapacity&, Metrics&, PeerCallHandler serveChanges,
        PeerCallHandler serveTunnel);

    // Returns false if the port can't be opened, which is logged.
    auto listen(const Address&) -> bool;
    // Refuses connections from now on, and resets those that nobody has accepted.
    auto stopListening() -> void { closeListener(m_acceptor); }

private:
    auto serve(net::ip::tcp::socket) -> Awaitable<void>;

    Metrics& m_metrics;
    OpenConnections m_waiting; // For their first message.
    PeerCallHandler m_serveChanges;
    PeerCallHandler m_serveTunnel;
    net::ip::tcp::acceptor m_acceptor;
};

} // namespace marigoldladder::relay
