// Connects to upstreams: directly or, where this node's own path is blocked, through a tunnel that a peer
// opens.
#pragma once

#include "relay/own_links.h"
#include "relay/relay_board.h"
#include "relay/relay_settings.h"
#include "relay/tcp.h"
#include "relay/tunnel_choice.h"

#include <optional>
#include <random>

namespace marigoldladder::relay {

enum class ConnectOutcome {
    Connected,
    Refused, // By a peer's word too if one could be asked.
    NotReached, // No way to it was found.
};

struct ConnectResult {
    ConnectOutcome m_outcome = ConnectOutcome::NotReached;
    std::optional<VmName> m_via; // The peer that carries the connection; empty: it is direct.
    bool m_nobodyListens = false; // No process of the upstream runs at its address, as after a crash.
};

class UpstreamConnector {
public:
    UpstreamConnector(Executor, const RelaySettings&, RelayBoard&);

    // Connects the stream. `timeout` is for the direct attempt; asking peers may take a second more.
    // The connection ends by a reset, and only when this node closes it: what the kernel holds of a request
    // that was given up must not reach the upstream once a cut of the network has healed.
    auto connect(tcp_stream&, UpstreamPointer, Milliseconds timeout) -> Awaitable<ConnectResult>;

    // Tries paths again that count as blocked and are due; to be called from time to time.
    auto tryBlockedPaths() -> void;

    // Whether an open connection may serve a further request. `via`: the peer that carries it; empty: it is
    // direct.
    auto mayUse(const Upstream&, const std::optional<VmName>& via) const -> bool;

    // Whether this peer carries connections for this node.
    auto isCarrier(const VmName&) const -> bool;

private:
    auto connectDirectly(tcp_stream&, const UpstreamPointer&, Milliseconds timeout) -> Awaitable<ErrorCode>;
    auto openTunnel(tcp_stream&, const UpstreamPointer&) -> Awaitable<ConnectResult>;
    auto askPeer(tcp_stream&, const Upstream&, const TunnelPeer&) -> Awaitable<ConnectOutcome>;
    auto tryAgain(UpstreamPointer) -> Awaitable<void>;
    auto noteReached(Upstream&) -> void;
    auto noteBlocked(Upstream&, ErrorCode, const VmName& via) -> void;
    auto noteWhetherStranded(bool wasStranded) -> void;

    Executor m_executor;
    const RelaySettings& m_settings;
    RelayBoard& m_board;
    std::mt19937_64 m_random;
};

} // namespace marigoldladder::relay
