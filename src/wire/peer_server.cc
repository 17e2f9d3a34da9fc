#include "wire/peer_server.h"

#include <algorithm>
#include <utility>

namespace marigoldladder {

PeerServer::PeerServer(
    Socket listener, PeerIdentity self, Metrics& metrics, PeerHandler handler, PeerLossHandler lossHandler)
    : m_listener(std::move(listener))
    , m_self(std::move(self))
    , m_metrics(metrics)
    , m_handler(std::move(handler))
    , m_lossHandler(std::move(lossHandler))
    , m_acceptThread("peer-accept", [this] { acceptLoop(); })
{
}

PeerServer::~PeerServer()
{
    m_listener.shutDown();
    m_acceptThread.join();
    for (const auto& session : m_sessions)
        session.m_connection->close();
}

auto PeerServer::acceptLoop() -> void
{
    while (true) {
        auto socket = acceptFrom(m_listener);
        if (!socket.valid())
            return;
        removeEndedSessions();
        if (makeRoom())
            startSession(std::move(socket));
    }
}

auto PeerServer::startSession(Socket socket) -> void
{
    auto connection = std::make_shared<PeerConnection>(std::move(socket), m_metrics);
    auto state = std::make_shared<std::atomic<SessionState>>(SessionState::Handshake);
    auto body = [this, connection, state] {
        runSession(connection, *state);
        *state = SessionState::Ended;
    };
    m_sessions.push_back({ connection, state, PosixThread("peer-session", std::move(body)) });
}

auto PeerServer::runSession(
    const std::shared_ptr<PeerConnection>& connection, std::atomic<SessionState>& state) -> void
{
    if (!connection->handshakeAsServer(m_self)) {
        m_metrics.add(Counter::PeerHandshakesRefused);
        connection->close();
        return;
    }
    state = SessionState::Established;
    auto envelope = wire::EnvelopeT();
    while (connection->receive(envelope))
        m_handler(connection, envelope);
    m_lossHandler(connection);
}

auto PeerServer::removeEndedSessions() -> void
{
    m_sessions.remove_if(
        [](const Session& session) { return session.m_state->load() == SessionState::Ended; });
}

// Sees to it that one more connection is within the bounds; false when it has to be refused.
auto PeerServer::makeRoom() -> bool
{
    const auto inHandshake
        = [](const Session& session) { return *session.m_state == SessionState::Handshake; };
    const auto handshakes = std::count_if(m_sessions.begin(), m_sessions.end(), inHandshake);
    const auto full = m_sessions.size() >= maxPeerSessions;
    if (!full && static_cast<std::size_t>(handshakes) < maxPeerHandshakes)
        return true;
    const auto oldest = std::find_if(m_sessions.begin(), m_sessions.end(), inHandshake);
    if (oldest == m_sessions.end())
        return false;
    oldest->m_connection->close();
    m_sessions.erase(oldest); // Waits for its thread, which the close has woken.
    return true;
}

} // namespace marigoldladder
