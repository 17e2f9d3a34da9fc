// An established connection between two nodes, on either side of it.
//
// Both sides prove that they know the fleet's secret before anything else is said, and each proof is
// bound to the nonces of this connection, so a recorded one opens nothing. Pings keep a quiet connection
// known to be alive; one that stays silent is closed, because something on the way may have lost it.
#pragma once

#include "core/metrics.h"
#include "marigoldladder/ids.h"
#include "wire/frame.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>

namespace marigoldladder {

// Who a node is towards its peers.
struct PeerIdentity {
    VmName m_vm;
    Incarnation m_incarnation = 0;
    std::string m_fleetSecret;
};

// How often a quiet connection is pinged.
inline constexpr auto pingPeriod = std::chrono::milliseconds(500);

// How long a connection may be silent before it is given up.
inline constexpr auto silenceBound = std::chrono::milliseconds(2000);

// How long a handshake may take as a whole, however slowly its bytes come in.
inline constexpr auto handshakeTimeout = std::chrono::milliseconds(2000);

// The largest frame taken in from a side that has not proved itself.
inline constexpr auto maxHandshakeBytes = std::size_t { 4096 };

// Frames over one socket after the handshake. Sending is thread-safe; one thread receives.
class PeerConnection {
public:
    PeerConnection(Socket, Metrics&);

    // Runs the client's side of the handshake; the peer's name and incarnation are known afterwards.
    auto handshakeAsClient(const PeerIdentity&, std::chrono::milliseconds timeout = handshakeTimeout) -> bool;
    auto handshakeAsServer(const PeerIdentity&, std::chrono::milliseconds timeout = handshakeTimeout) -> bool;

    auto peerVm() const -> const VmName& { return m_peerVm; }
    auto peerIncarnation() const -> Incarnation { return m_peerIncarnation; }

    // Sends one frame; false when the connection is lost, and from then on.
    auto send(const wire::EnvelopeT&) -> bool;

    // Waits for the next frame that is not a ping or pong; false when the connection is lost or silent.
    auto receive(wire::EnvelopeT&) -> bool;

    auto close() -> void;
    auto alive() const -> bool { return m_alive; }

private:
    auto receiveHandshake(wire::Body expected, SocketDeadline, wire::EnvelopeT&) -> bool;
    auto answerPing(const wire::EnvelopeT&) -> bool;

    Socket m_socket;
    Metrics& m_metrics;
    VmName m_peerVm;
    Incarnation m_peerIncarnation = 0;
    std::mutex m_sendMutex;
    std::atomic<bool> m_alive { true };
};

} // namespace marigoldladder
