// Who gets past the handshake between nodes, and what strangers can cost.
#include "wire/peer_link.h"
#include "wire/peer_server.h"

#include "core/secret_digest.h"

#include <gtest/gtest.h>
#include <numeric>

namespace marigoldladder {
namespace {

    constexpr auto patience = std::chrono::seconds(4);

    class HandshakeTest : public ::testing::Test {
    protected:
        HandshakeTest()
        {
            auto listener = listenOn({ "127.0.0.1", 0 });
            m_address = boundAddress(listener.value());
            m_server.emplace(
                std::move(listener.value()), PeerIdentity { VmName("server"), 1, "fleet-secret" }, m_metrics,
                [this](const auto& connection, auto& envelope) {
                    ++m_handled;
                    connection->send(makeEnvelope(envelope.correlation, wire::GossipAnswerT()));
                },
                [](const auto&) {});
        }

        auto connectWith(const std::string& secret) -> Result<std::shared_ptr<PeerLink>>
        {
            return PeerLink::connect(m_address, { VmName("client"), 2, secret }, m_metrics);
        }

        // Opens a connection as a stranger and takes the server's challenge.
        auto openAsStranger(wire::EnvelopeT& challenge) -> Socket
        {
            auto socket = std::move(connectTo(m_address, std::chrono::seconds(1)).value());
            setTimeouts(socket, patience, patience);
            EXPECT_EQ(receiveEnvelope(socket, challenge), ReadOutcome::Complete);
            return socket;
        }

        // Whether the server closes the connection without another word.
        static auto closes(const Socket& socket) -> bool
        {
            auto byte = std::uint8_t { 0 };
            return receiveExactly(socket, &byte, 1) == ReadOutcome::Closed;
        }

        static auto sendFrame(const Socket& socket, const wire::EnvelopeT& envelope) -> void
        {
            const auto frame = encodeFrame(envelope);
            EXPECT_TRUE(sendAll(socket, frame.data(), frame.size()));
        }

        // A hello as a node that knows the secret writes it for this server's nonce.
        static auto helloFor(const std::string& serverNonce) -> wire::HelloT
        {
            auto hello = wire::HelloT();
            hello.vm = "client";
            hello.incarnation = 2;
            hello.nonce = "00112233445566778899aabbccddeeff";
            const auto text = "hello\n" + serverNonce + "\n" + hello.nonce + "\nclient\n2";
            hello.proof = messageProof("fleet-secret", text);
            return hello;
        }

        auto expectUnharmed() -> void
        {
            const auto link = connectWith("fleet-secret");
            ASSERT_TRUE(link) << "expected a peer to get through";
            EXPECT_TRUE(link.value()->call(wire::GossipT(), patience));
        }

        Metrics m_metrics;
        std::atomic<int> m_handled { 0 };
        Address m_address;
        std::optional<PeerServer> m_server;
    };

    TEST_F(HandshakeTest, TakesAPeerThatKnowsTheSecret)
    {
        const auto link = connectWith("fleet-secret");
        ASSERT_TRUE(link);
        EXPECT_EQ(link.value()->peerVm(), VmName("server"));
    }

    TEST_F(HandshakeTest, RefusesAWrongAndAMissingSecret)
    {
        EXPECT_FALSE(connectWith("another-secret"));
        EXPECT_FALSE(connectWith(""));
        EXPECT_EQ(m_metrics.value(Counter::PeerHandshakesRefused), 2U);
        EXPECT_EQ(m_handled, 0);
    }

    TEST_F(HandshakeTest, RefusesAReplayedProof)
    {
        auto challenge = wire::EnvelopeT();
        const auto first = openAsStranger(challenge);
        const auto hello = helloFor(challenge.body.AsChallenge()->nonce);
        sendFrame(first, makeEnvelope(0, hello));
        auto welcome = wire::EnvelopeT();
        ASSERT_EQ(receiveEnvelope(first, welcome), ReadOutcome::Complete)
            << "expected the proof to be good where it was made";
        const auto second = openAsStranger(challenge);
        sendFrame(second, makeEnvelope(0, hello));
        EXPECT_TRUE(closes(second)) << "expected the recorded proof to open nothing";
        expectUnharmed();
    }

    TEST_F(HandshakeTest, RefusesAProofMadeForAnotherName)
    {
        auto challenge = wire::EnvelopeT();
        const auto stranger = openAsStranger(challenge);
        auto hello = helloFor(challenge.body.AsChallenge()->nonce);
        hello.vm = "somebody-else";
        sendFrame(stranger, makeEnvelope(0, hello));
        EXPECT_TRUE(closes(stranger));
    }

    TEST_F(HandshakeTest, HandlesNothingBeforeTheProof)
    {
        auto challenge = wire::EnvelopeT();
        const auto stranger = openAsStranger(challenge);
        sendFrame(stranger, makeEnvelope(1, wire::GossipT()));
        EXPECT_TRUE(closes(stranger));
        EXPECT_EQ(m_handled, 0);
    }

    TEST_F(HandshakeTest, ClosesOnGarbageAndOnOversizeFrames)
    {
        auto garbage = std::vector<std::uint8_t>(4096);
        std::iota(garbage.begin(), garbage.end(), std::uint8_t { 17 });
        for (const auto length : { 60U, 4097U, 8U * 1024 * 1024, 0xffffffffU }) {
            auto challenge = wire::EnvelopeT();
            const auto stranger = openAsStranger(challenge);
            for (auto shift = 0U; shift < 32; shift += 8)
                garbage.at(shift / 8) = static_cast<std::uint8_t>(length >> shift);
            (void)sendAll(stranger, garbage.data(), 64);
            EXPECT_TRUE(closes(stranger))
                << "expected an end after a frame said to have " << length << " bytes";
        }
        expectUnharmed();
    }

    TEST_F(HandshakeTest, ClosesAHandshakeThatTricklesIn)
    {
        auto challenge = wire::EnvelopeT();
        const auto stranger = openAsStranger(challenge);
        const auto frame = encodeFrame(makeEnvelope(0, helloFor(challenge.body.AsChallenge()->nonce)));
        const auto begun = std::chrono::steady_clock::now();
        auto sent = std::size_t { 0 };
        while (sent + 1 < frame.size() && sendAll(stranger, &frame.at(sent), 1)) {
            ++sent;
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            if (std::chrono::steady_clock::now() - begun > 2 * patience)
                break;
        }
        EXPECT_LT(std::chrono::steady_clock::now() - begun, 2 * patience)
            << "expected the handshake to be given up as a whole, not byte by byte";
        expectUnharmed();
    }

    TEST_F(HandshakeTest, LetsPeersInThoughStrangersHoldHalfOpenConnections)
    {
        auto held = std::vector<Socket>();
        for (auto i = std::size_t { 0 }; i < 3 * maxPeerHandshakes; ++i) {
            auto socket = connectTo(m_address, std::chrono::seconds(1));
            ASSERT_TRUE(socket);
            held.push_back(std::move(socket.value()));
        }
        expectUnharmed();
        const auto refused = m_metrics.value(Counter::PeerHandshakesRefused);
        EXPECT_GE(refused, maxPeerHandshakes) << "expected the oldest handshakes to be given up";
    }

} // namespace
} // namespace marigoldladder
