#include "relay/digest_exchange.h"

#include "relay/generated/peer_messages_generated.h"
#include "relay/peer_loads.h"
#include "relay/relay_fixtures.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    constexpr auto port = 28'620;
    constexpr auto engine = "engine-1";

    // A node that exchanges digests; the name's first letter is its data centre.
    struct Node {
        Node(net::io_context& context, const std::string& name, int number, double processorShare)
            : m_settings(settingsOf(name, number, processorShare))
            , m_socket(context.get_executor())
            , m_digests(context.get_executor(), m_settings, m_board, m_socket, Incarnation { 7 })
        {
            m_board.m_fleet.m_localDataCentre = m_settings.m_dataCentre;
            applyUpstreamRecord(m_board.m_upstreams, engineRecord(engine), std::chrono::steady_clock::now());
        }

        static auto settingsOf(const std::string& name, int number, double processorShare) -> RelaySettings
        {
            auto settings = RelaySettings();
            settings.m_vm = VmName(name);
            settings.m_dataCentre = DataCentreName(name.substr(0, 1));
            settings.m_peerAddress = Address { loopbackHost(number), port };
            settings.m_callerAddress = Address { loopbackHost(number), port + 1 };
            settings.m_processorShare = processorShare;
            return settings;
        }

        auto open() -> bool
        {
            return m_socket.open(m_settings.m_peerAddress, m_board.m_metrics,
                [this](const messages::Datagram& datagram, std::string_view bytes, const Address& from) {
                    if (const auto* digest = datagram.message_as_Digest())
                        m_digests.apply(*digest, bytes, from);
                });
        }

        // Adds the other node as a live peer.
        auto addLivePeer(const Node& other) -> Peer&
        {
            auto& peer = m_board.m_fleet.m_peers[other.m_settings.m_vm];
            peer.m_vm = other.m_settings.m_vm;
            peer.m_incarnation = 7;
            peer.m_dataCentre = other.m_settings.m_dataCentre;
            peer.m_peerAddress = other.m_settings.m_peerAddress;
            peer.m_callerAddress = other.m_settings.m_callerAddress;
            peer.m_processorShare = other.m_settings.m_processorShare;
            peer.m_ready = true;
            peer.m_lastReceivedAt = std::chrono::steady_clock::now();
            peer.m_livenessTimeout = Milliseconds(60'000);
            return peer;
        }

        // Makes the fleet a large one by adding unresponsive nodes of a third data centre.
        auto addUnresponsivePeers() -> void
        {
            for (auto number = 0; number < 20; ++number) {
                auto& peer = m_board.m_fleet.m_peers[VmName("c" + std::to_string(number))];
                peer.m_vm = VmName("c" + std::to_string(number));
                peer.m_dataCentre = DataCentreName("c");
                peer.m_peerAddress = Address { loopbackHost(99), port };
            }
        }

        auto peersInFlight() const -> std::size_t
        {
            return m_board.m_upstreams.m_upstreams.at(UpstreamName(engine))->m_peersInFlight;
        }

        RelaySettings m_settings;
        RelayBoard m_board;
        PeerSocket m_socket;
        DigestExchange m_digests;
    };

    // Two data centres, with "a1" and "b1" as their gateways, which know each other.
    class DigestExchangeTest : public testing::Test {
    protected:
        auto SetUp() -> void override
        {
            for (auto* node : { &m_a1, &m_a2, &m_b1, &m_b2 })
                ASSERT_TRUE(node->open());
            m_a1.addLivePeer(m_a2);
            m_a1.addLivePeer(m_b1);
            m_b1.addLivePeer(m_b2);
            m_b1.addLivePeer(m_a1);
            m_b2.addLivePeer(m_b1);
            for (auto* node : { &m_a1, &m_a2, &m_b1, &m_b2 })
                node->addUnresponsivePeers();
        }

        auto runUntil(const std::function<bool()>& done) -> void
        {
            for (auto step = 0; step < 150 && !done(); ++step) {
                m_context.restart();
                m_context.run_for(Milliseconds(10));
            }
        }

        net::io_context m_context;
        Node m_a1 { m_context, "a1", 21, 0.5 };
        Node m_a2 { m_context, "a2", 22, 0.1 };
        Node m_b1 { m_context, "b1", 23, 0.5 };
        Node m_b2 { m_context, "b2", 24, 0.1 };
    };

    TEST_F(DigestExchangeTest, NodesReceiveRemoteNodesAndTheirLoadsThroughTheGateways)
    {
        m_a1.m_board.m_upstreams.m_upstreams.at(UpstreamName(engine))->m_inFlight = 2;
        replaceLoads(m_a1.m_board.m_fleet, m_a1.m_board.m_fleet.m_peers.at(VmName("a2")).m_loads,
            { { shortId(engine), { 3, 300 } } }, std::chrono::steady_clock::now());
        m_a1.m_digests.start([] { return true; });
        const auto& known = m_b2.m_board.m_fleet.m_peers;
        runUntil([&] { return known.contains(VmName("a2")); });
        ASSERT_TRUE(known.contains(VmName("a2"))) << "expected b1 to forward the digest to b2";
        const auto now = std::chrono::steady_clock::now();
        EXPECT_TRUE(isAlive(known.at(VmName("a2")), now));
        EXPECT_TRUE(known.at(VmName("a2")).m_ready);
        EXPECT_EQ(known.at(VmName("a2")).m_callerAddress, m_a2.m_settings.m_callerAddress);
        EXPECT_EQ(m_b2.peersInFlight(), 5U) << "expected 2 of a1 and 3 of a2";
        EXPECT_EQ(m_b1.peersInFlight(), 5U);
    }

    TEST_F(DigestExchangeTest, AForwardedDigestIsNotForwardedAgain)
    {
        auto received = 0;
        auto neighbour = PeerSocket(m_context.get_executor());
        const auto host = loopbackHost(25);
        ASSERT_TRUE(neighbour.open(Address { host, port }, m_b2.m_board.m_metrics,
            [&](const messages::Datagram&, std::string_view, const Address&) { ++received; }));
        auto& other = m_b2.m_board.m_fleet.m_peers[VmName("b3")];
        other = m_b2.addLivePeer(m_b1);
        other.m_vm = VmName("b3");
        other.m_peerAddress = Address { host, port };
        m_a1.m_digests.start([] { return true; });
        runUntil([&] { return m_b2.m_board.m_fleet.m_peers.contains(VmName("a2")); });
        runUntil([] { return false; });
        EXPECT_TRUE(m_b2.m_board.m_fleet.m_peers.contains(VmName("a2")));
        EXPECT_EQ(received, 0) << "expected b2 to send no datagrams to b3";
    }

    TEST_F(DigestExchangeTest, AnOlderIncarnationOfANodeDoesNotReplaceANewerOne)
    {
        m_b2.addLivePeer(m_a2).m_incarnation = 8;
        m_b2.m_board.m_fleet.m_peers.at(VmName("a2")).m_ready = false;
        m_a1.m_digests.start([] { return true; });
        runUntil([&] { return m_b2.m_board.m_fleet.m_peers.contains(VmName("a1")); });
        ASSERT_TRUE(m_b2.m_board.m_fleet.m_peers.contains(VmName("a1")));
        EXPECT_EQ(m_b2.m_board.m_fleet.m_peers.at(VmName("a2")).m_incarnation, 8U);
        EXPECT_FALSE(m_b2.m_board.m_fleet.m_peers.at(VmName("a2")).m_ready);
    }

} // namespace
} // namespace marigoldladder::relay
