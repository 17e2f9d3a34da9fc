#include "wire/peer_connection.h"

#include "core/random_bytes.h"
#include "core/secret_digest.h"

#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto nonceBytes = std::size_t { 16 };
    constexpr auto sendTimeout = std::chrono::milliseconds(2000);

    // The text that a side proves: its role, both nonces and who it says it is.
    auto proofText(const std::string& role, const std::string& serverNonce, const std::string& clientNonce,
        const std::string& vm, Incarnation incarnation) -> std::string
    {
        return role + "\n" + serverNonce + "\n" + clientNonce + "\n" + vm + "\n"
            + std::to_string(incarnation);
    }

} // namespace

PeerConnection::PeerConnection(Socket socket, Metrics& metrics)
    : m_socket(std::move(socket))
    , m_metrics(metrics)
{
    setTimeouts(m_socket, pingPeriod, sendTimeout);
}

auto PeerConnection::receiveHandshake(wire::Body expected, SocketDeadline deadline, wire::EnvelopeT& envelope)
    -> bool
{
    return receiveEnvelopeBefore(m_socket, deadline, maxHandshakeBytes, envelope)
        && envelope.body.type == expected;
}

auto PeerConnection::handshakeAsClient(const PeerIdentity& self, std::chrono::milliseconds timeout) -> bool
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    auto envelope = wire::EnvelopeT();
    if (!receiveHandshake(wire::Body::Challenge, deadline, envelope))
        return false;
    const auto serverNonce = envelope.body.AsChallenge()->nonce;
    auto hello = wire::HelloT();
    hello.vm = self.m_vm.value();
    hello.incarnation = self.m_incarnation;
    hello.nonce = randomHex(nonceBytes);
    const auto helloText = proofText("hello", serverNonce, hello.nonce, hello.vm, hello.incarnation);
    hello.proof = messageProof(self.m_fleetSecret, helloText);
    const auto clientNonce = hello.nonce;
    if (!send(makeEnvelope(0, std::move(hello)))
        || !receiveHandshake(wire::Body::Welcome, deadline, envelope))
        return false;
    const auto& welcome = *envelope.body.AsWelcome();
    const auto welcomeText = proofText("welcome", serverNonce, clientNonce, welcome.vm, welcome.incarnation);
    if (!equalInConstantTime(welcome.proof, messageProof(self.m_fleetSecret, welcomeText)))
        return false;
    m_peerVm = VmName(welcome.vm);
    m_peerIncarnation = welcome.incarnation;
    return true;
}

auto PeerConnection::handshakeAsServer(const PeerIdentity& self, std::chrono::milliseconds timeout) -> bool
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    auto challenge = wire::ChallengeT();
    challenge.nonce = randomHex(nonceBytes);
    const auto serverNonce = challenge.nonce;
    auto envelope = wire::EnvelopeT();
    if (!send(makeEnvelope(0, std::move(challenge)))
        || !receiveHandshake(wire::Body::Hello, deadline, envelope))
        return false;
    const auto& hello = *envelope.body.AsHello();
    const auto helloText = proofText("hello", serverNonce, hello.nonce, hello.vm, hello.incarnation);
    if (!equalInConstantTime(hello.proof, messageProof(self.m_fleetSecret, helloText)))
        return false;
    m_peerVm = VmName(hello.vm);
    m_peerIncarnation = hello.incarnation;
    auto welcome = wire::WelcomeT();
    welcome.vm = self.m_vm.value();
    welcome.incarnation = self.m_incarnation;
    const auto text = proofText("welcome", serverNonce, hello.nonce, welcome.vm, welcome.incarnation);
    welcome.proof = messageProof(self.m_fleetSecret, text);
    return send(makeEnvelope(0, std::move(welcome)));
}

auto PeerConnection::send(const wire::EnvelopeT& envelope) -> bool
{
    const auto frame = encodeFrame(envelope);
    const auto lock = std::lock_guard(m_sendMutex);
    if (!m_alive)
        return false;
    if (!sendAll(m_socket, frame.data(), frame.size())) {
        close();
        return false;
    }
    m_metrics.add(Counter::PeerMessagesSent);
    m_metrics.add(Counter::PeerBytesSent, frame.size());
    return true;
}

auto PeerConnection::answerPing(const wire::EnvelopeT& envelope) -> bool
{
    if (envelope.body.type == wire::Body::Ping)
        send(makeEnvelope(envelope.correlation, wire::PongT()));
    return envelope.body.type == wire::Body::Ping || envelope.body.type == wire::Body::Pong;
}

auto PeerConnection::receive(wire::EnvelopeT& envelope) -> bool
{
    auto silentPeriods = 0;
    while (m_alive) {
        switch (receiveEnvelope(m_socket, envelope)) {
        case ReadOutcome::Complete:
            silentPeriods = 0;
            if (!answerPing(envelope))
                return true;
            break;
        case ReadOutcome::TimedOut:
            // Periods are counted, not read off the clock: after a pause of this process one more read
            // sees what arrived meanwhile.
            ++silentPeriods;
            if (silentPeriods * pingPeriod >= silenceBound || !send(makeEnvelope(0, wire::PingT())))
                close();
            break;
        case ReadOutcome::Closed:
            close();
            break;
        }
    }
    return false;
}

auto PeerConnection::close() -> void
{
    m_alive = false;
    m_socket.shutDown();
}

} // namespace marigoldladder
