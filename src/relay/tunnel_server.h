// Opens tunnels for other nodes: connects to an upstream and passes the bytes of both directions on.
//
// The node at the other end decides what is sent and what an answer means; this one only carries it.
#pragma once

#include "relay/relay_board.h"
#include "relay/relay_settings.h"
#include "relay/tcp.h"

#include <memory>
#include <string>

namespace marigoldladder::relay {

// Whether the message asks for a tunnel.
auto isTunnelRequest(const std::string& message) -> bool;

class TunnelServer {
public:
    TunnelServer(Executor, const RelaySettings&, RelayBoard&);

    // Answers the request and, if the tunnel could be opened, carries bytes until either end closes.
    auto serve(std::shared_ptr<tcp_stream> node, std::string message) -> Awaitable<void>;

private:
    // Returns the upstream that is asked for, or null if no tunnel to it may be opened.
    auto findUpstream(const std::string& message, tcp_stream& node) const -> UpstreamPointer;

    Executor m_executor;
    const RelaySettings& m_settings;
    RelayBoard& m_board;
};

} // namespace marigoldladder::relay
