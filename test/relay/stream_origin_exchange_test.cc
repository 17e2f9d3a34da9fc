#include "relay/stream_origin_exchange.h"

#include "relay/generated/peer_messages_generated.h"
#include "relay/relay_fixtures.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <memory>

namespace marigoldladder::relay {
namespace {

    constexpr auto port = 28'613;
    constexpr auto old = SoftwareId { 1 };
    constexpr auto newer = SoftwareId { 2 };
    constexpr auto stream = StreamKey { 7 };
    constexpr auto delivery = Milliseconds(20); // Of a message on the loopback network.

    struct Node {
        Node(net::io_context& context, int number)
            : m_address { loopbackHost(30 + number), port }
            , m_vm("node-" + std::to_string(number))
            , m_socket(context.get_executor())
            , m_origins(context.get_executor(), m_board, m_socket, Incarnation { 77 })
        {
            auto configuration = RoutingConfiguration();
            configuration.m_pools.emplace(enginePool().m_name, enginePool());
            m_board.m_configuration = std::make_shared<const RoutingConfiguration>(configuration);
            learn("i-1", old);
        }

        auto open() -> bool
        {
            return m_socket.open(m_address, m_board.m_metrics,
                [this](const messages::Datagram& datagram, std::string_view, const Address& from) {
                    if (const auto* notice = datagram.message_as_OriginNotice())
                        m_origins.handle(*notice);
                    if (const auto* question = datagram.message_as_OriginQuestion())
                        m_origins.handle(*question, from);
                    if (const auto* answer = datagram.message_as_OriginAnswer())
                        m_origins.handle(*answer);
                });
        }

        auto learn(const std::string& name, SoftwareId software) -> void
        {
            auto record = engineRecord(name);
            record.m_software = software;
            applyUpstreamRecord(m_board.m_upstreams, record, std::chrono::steady_clock::now());
        }

        auto addPeer(const Node& other) -> void
        {
            auto& peer = m_board.m_fleet.m_peers[other.m_vm];
            peer.m_vm = other.m_vm;
            peer.m_peerAddress = other.m_address;
            peer.m_lastReceivedAt = std::chrono::steady_clock::now();
            peer.m_livenessTimeout = Milliseconds(60'000);
        }

        Address m_address;
        VmName m_vm;
        RelayBoard m_board;
        PeerSocket m_socket;
        StreamOriginExchange m_origins;
    };

    class StreamOriginExchangeTest : public testing::Test {
    protected:
        auto SetUp() -> void override
        {
            for (auto number = 0; number < 5; ++number) {
                m_nodes.push_back(std::make_unique<Node>(m_context, number));
                ASSERT_TRUE(m_nodes.back()->open());
            }
            for (auto& node : m_nodes) {
                for (const auto& other : m_nodes) {
                    if (other != node)
                        node->addPeer(*other);
                }
                node->m_origins.start();
            }
            runFor(delivery);
        }

        auto runFor(Milliseconds time) -> void
        {
            m_context.restart();
            m_context.run_for(time);
        }

        auto beginRelease() -> void
        {
            for (auto& node : m_nodes)
                node->learn("i-2", newer);
            runFor(Milliseconds(150)); // Until each node has looked at its pools.
        }

        auto findAt(std::size_t node) -> std::optional<SoftwareId>
        {
            auto found = std::optional<SoftwareId>();
            auto ended = false;
            net::co_spawn(m_context, m_nodes[node]->m_origins.find(stream, { enginePool().m_name }),
                [&](const std::exception_ptr&, const FoundOrigin& result) {
                    found = result.m_software;
                    ended = true;
                });
            runFor(Milliseconds(500));
            EXPECT_TRUE(ended);
            return found;
        }

        // The node's messages go nowhere from now on, as if it had been killed.
        auto lose(std::size_t node) -> void
        {
            for (auto& other : m_nodes) {
                const auto peer = other->m_board.m_fleet.m_peers.find(m_nodes[node]->m_vm);
                if (peer != other->m_board.m_fleet.m_peers.end())
                    peer->second.m_peerAddress = Address { loopbackHost(29), port };
            }
        }

        net::io_context m_context;
        std::vector<std::unique_ptr<Node>> m_nodes;
    };

    // Issue 43: a caller took its stream up at another node than the one that was killed.
    TEST_F(StreamOriginExchangeTest, OtherNodesKnowAStreamOfANodeThatIsGone)
    {
        beginRelease();
        m_nodes[0]->m_origins.noteBegan(stream, old);
        runFor(delivery);
        lose(0);
        for (auto node = std::size_t { 1 }; node < m_nodes.size(); ++node)
            EXPECT_EQ(findAt(node), old) << "node " << node;
    }

    TEST_F(StreamOriginExchangeTest, AStreamFromBeforeAReleaseIsKnownOnceItBegins)
    {
        m_nodes[0]->m_origins.noteBegan(stream, old);
        beginRelease();
        lose(0);
        EXPECT_EQ(findAt(1), old);
        EXPECT_EQ(findAt(2), old);
    }

    TEST_F(StreamOriginExchangeTest, AnUnknownStreamGoesOnWhileThereIsOneVersion)
    {
        EXPECT_EQ(findAt(1), old);
    }

    TEST_F(StreamOriginExchangeTest, AnUnknownStreamGoesNowhereWhileThereAreTwoVersions)
    {
        beginRelease();
        EXPECT_EQ(findAt(1), std::nullopt);
    }

    // A node that has just started can't tell that there was one version only.
    TEST_F(StreamOriginExchangeTest, AnUnknownStreamGoesNowhereWhileNobodyAnswersANewNode)
    {
        for (auto node = std::size_t { 0 }; node < m_nodes.size(); ++node) {
            if (node != 1)
                lose(node);
        }
        EXPECT_EQ(findAt(1), std::nullopt);
    }

    // It doesn't know of the older version's upstreams, which left before it came.
    TEST_F(StreamOriginExchangeTest, ANewNodeIsToldThatThereWereTwoVersions)
    {
        beginRelease();
        auto& table = m_nodes[1]->m_board.m_upstreams;
        removeUpstream(table, UpstreamName("i-1"), std::chrono::steady_clock::now());
        table.m_formerSoftware.clear();
        EXPECT_EQ(findAt(1), std::nullopt);
    }

} // namespace
} // namespace marigoldladder::relay
