#include "wire/peer_server.h"

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
        startSession(std::move(socket));
    }
}

auto PeerServer::startSession(Socket socket) -> void
{
    auto connection = std::make_shared<PeerConnection>(std::move(socket), m_metrics);
    auto ended = std::make_shared<std::atomic<bool>>(false);
    auto body = [this, connection, ended] {
        runSession(connection);
        *ended = true;
    };
    m_sessions.push_back({ connection, ended, PosixThread("peer-session", std::move(body)) });
}

auto PeerServer::runSession(const std::shared_ptr<PeerConnection>& connection) -> void
{
    if (!connection->handshakeAsServer(m_self)) {
        connection->close();
        return;
    }
    auto envelope = wire::EnvelopeT();
    while (connection->receive(envelope))
        m_handler(connection, envelope);
    m_lossHandler(connection);
}

auto PeerServer::removeEndedSessions() -> void
{
    m_sessions.remove_if([](const Session& session) { return session.m_ended->load(); });
}

} // namespace marigoldladder
