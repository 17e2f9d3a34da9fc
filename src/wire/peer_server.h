// Takes connections from peers and hands their frames to the node.
#pragma once

#include "core/posix_thread.h"
#include "wire/peer_connection.h"

#include <functional>
#include <list>
#include <memory>

namespace marigoldladder {

// Called for each frame on the connection's own receiving thread; it must not wait for that connection.
using PeerHandler = std::function<void(const std::shared_ptr<PeerConnection>&, wire::EnvelopeT&)>;

// Called once when a connection that had passed the handshake is lost.
using PeerLossHandler = std::function<void(const std::shared_ptr<PeerConnection>&)>;

// The most connections at once, and how many of them may still be in their handshake. At either bound the
// oldest handshake is given up for a new connection, so that strangers keep no peer out for long.
inline constexpr auto maxPeerSessions = std::size_t { 2048 };
inline constexpr auto maxPeerHandshakes = std::size_t { 64 };

// Listens from construction until destruction, one thread for each connection.
class PeerServer {
public:
    PeerServer(Socket listener, PeerIdentity, Metrics&, PeerHandler, PeerLossHandler);
    PeerServer(const PeerServer&) = delete;
    auto operator=(const PeerServer&) -> PeerServer& = delete;
    ~PeerServer();

private:
    enum class SessionState {
        Handshake,
        Established,
        Ended,
    };

    struct Session {
        std::shared_ptr<PeerConnection> m_connection;
        std::shared_ptr<std::atomic<SessionState>> m_state;
        PosixThread m_thread;
    };

    auto acceptLoop() -> void;
    auto startSession(Socket) -> void;
    auto runSession(const std::shared_ptr<PeerConnection>&, std::atomic<SessionState>&) -> void;
    auto removeEndedSessions() -> void;
    auto makeRoom() -> bool;

    Socket m_listener;
    PeerIdentity m_self;
    Metrics& m_metrics;
    PeerHandler m_handler;
    PeerLossHandler m_lossHandler;
    std::list<Session> m_sessions; // Used by the accepting thread, and by the destructor after its end.
    PosixThread m_acceptThread;
};

} // namespace marigoldladder
