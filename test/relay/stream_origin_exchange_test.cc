#include "relay/stream_origin_exchange.h"

#include "relay/generated/peer_messages_generated.h"
#include "relay/memory_store.h"
#include "relay/relay_fixtures.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <memory>
#include <set>

namespace marigoldladder::relay {
namespace {

    constexpr auto port = 28'613;
    constexpr auto old = SoftwareId { 1 };
    constexpr auto newer = SoftwareId { 2 };
    constexpr auto stream = StreamKey { 7 };
    constexpr auto delivery = Milliseconds(20); // Of a message on the loopback network.
    constexpr auto historyTime = Milliseconds(450); // In which a node reads what the store says.
    constexpr auto usualNodes = 5;

    const auto pool = enginePool().m_name;

    auto streamConfiguration() -> RoutingConfiguration
    {
        auto configuration = configurationWith(enginePool());
        auto route = Route();
        route.m_pathPrefix = "/";
        route.m_kind = CallKind::Stream;
        route.m_resumable = true;
        route.m_pools.push_back({ pool });
        configuration.m_routesByHost["h"].push_back(route);
        return configuration;
    }

    auto settingsOf(const VmName& vm) -> RelaySettings
    {
        auto settings = RelaySettings();
        settings.m_vm = vm;
        return settings;
    }

    struct Node {
        Node(net::io_context& context, const ObjectStore& store, int number)
            : m_address { loopbackHost(30 + number), port }
            , m_settings(settingsOf(VmName("node-" + std::to_string(number))))
            , m_vm(m_settings.m_vm)
            , m_socket(context.get_executor())
            , m_software(context.get_executor(), m_settings, m_board, store)
            , m_origins(context.get_executor(), m_board, m_socket, m_software, Incarnation { 77 })
        {
            m_board.m_configuration = std::make_shared<const RoutingConfiguration>(streamConfiguration());
            m_board.m_upstreams.m_known = true;
            m_board.m_storeReachable = true;
            m_board.m_fleet.m_membersRead = true;
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
        RelaySettings m_settings;
        VmName m_vm;
        RelayBoard m_board;
        PeerSocket m_socket;
        SoftwareWatch m_software;
        StreamOriginExchange m_origins;
    };

    class StreamOriginExchangeTest : public testing::Test {
    protected:
        // Starts nodes that see upstreams of this software; the store says that `served` has served lately.
        auto startNodes(int count, SoftwareId seen, const std::set<SoftwareId>& served) -> void
        {
            if (!served.empty())
                (void)m_store.write("software",
                    { "history", {}, false, toJson({ { { pool, served } }, true, firstEra }) }, true);
            for (auto number = 0; number < count; ++number) {
                m_nodes.push_back(std::make_unique<Node>(m_context, m_calls, number));
                m_nodes.back()->learn("i-1", seen);
                m_nodes.back()->m_board.m_storeReachable = m_storeIsReached;
                ASSERT_TRUE(m_nodes.back()->open());
            }
            for (auto& node : m_nodes) {
                for (const auto& other : m_nodes) {
                    if (other != node)
                        node->addPeer(*other);
                }
                node->m_origins.start();
            }
            runFor(historyTime);
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
            net::co_spawn(m_context, m_nodes[node]->m_origins.find(stream, { pool }),
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
        MemoryStore m_store;
        bool m_storeIsReached = true;
        ObjectStore m_calls = m_store.calls();
        std::vector<std::unique_ptr<Node>> m_nodes;
    };

    // Issue 43: a caller took its stream up at another node than the one that was killed.
    TEST_F(StreamOriginExchangeTest, OtherNodesKnowAStreamOfANodeThatIsGone)
    {
        startNodes(usualNodes, old, { old });
        beginRelease();
        m_nodes[0]->m_origins.noteBegan(stream, old);
        runFor(delivery);
        lose(0);
        for (auto node = std::size_t { 1 }; node < m_nodes.size(); ++node)
            EXPECT_EQ(findAt(node), old) << "node " << node;
    }

    TEST_F(StreamOriginExchangeTest, AStreamFromBeforeAReleaseIsKnownOnceItBegins)
    {
        startNodes(usualNodes, old, { old });
        EXPECT_TRUE(m_nodes[0]->m_software.isAlone(old));
        m_nodes[0]->m_origins.noteBegan(stream, old);
        beginRelease();
        lose(0);
        EXPECT_EQ(findAt(1), old);
        EXPECT_EQ(findAt(2), old);
    }

    TEST_F(StreamOriginExchangeTest, AnUnknownStreamGoesOnWhileThereIsOneVersion)
    {
        startNodes(usualNodes, old, { old });
        EXPECT_EQ(findAt(1), old);
    }

    TEST_F(StreamOriginExchangeTest, AnUnknownStreamGoesNowhereWhileThereAreTwoVersions)
    {
        startNodes(usualNodes, old, { old });
        beginRelease();
        EXPECT_EQ(findAt(1), std::nullopt);
    }

    // A node that has just started can't tell that there was one version only.
    TEST_F(StreamOriginExchangeTest, AnUnknownStreamGoesNowhereWhileNobodyAnswersANewNode)
    {
        startNodes(usualNodes, old, {});
        for (auto node = std::size_t { 0 }; node < m_nodes.size(); ++node) {
            if (node != 1)
                lose(node);
        }
        EXPECT_EQ(findAt(1), std::nullopt);
    }

    // It doesn't know of the older version's upstreams, which left before it came.
    TEST_F(StreamOriginExchangeTest, ANewNodeIsToldThatThereWereTwoVersions)
    {
        startNodes(usualNodes, old, { old });
        beginRelease();
        auto& table = m_nodes[1]->m_board.m_upstreams;
        removeUpstream(table, UpstreamName("i-1"), std::chrono::steady_clock::now());
        table.m_formerSoftware.clear();
        EXPECT_EQ(findAt(1), std::nullopt);
    }

    // Issue 61: all nodes had started after the older version left, and took the newer one for the only one.
    TEST_F(StreamOriginExchangeTest, AnUnknownStreamGoesNowhereAfterAllNodesStartedBehindARelease)
    {
        startNodes(usualNodes, newer, { old, newer });
        EXPECT_EQ(findAt(1), std::nullopt);
    }

    TEST_F(StreamOriginExchangeTest, AnUnknownStreamGoesNowhereWhileNoNodeKnowsWhatLeftBefore)
    {
        startNodes(usualNodes, newer, {});
        EXPECT_EQ(findAt(1), std::nullopt);
    }

    TEST_F(StreamOriginExchangeTest, AnUnknownStreamGoesNowhereWhileTheStoreIsDown)
    {
        m_store.m_isDown = true;
        startNodes(usualNodes, newer, {});
        EXPECT_EQ(findAt(1), std::nullopt);
        m_store.m_isDown = false;
    }

    TEST_F(StreamOriginExchangeTest, AnUnknownStreamGoesNowhereAmongNodesThatAreCutOffFromTheStore)
    {
        m_storeIsReached = false;
        startNodes(usualNodes, old, { old });
        EXPECT_EQ(findAt(1), std::nullopt);
    }

    // Its configuration is older than the asking node's.
    TEST_F(StreamOriginExchangeTest, ANodeWithoutTheRoutesPoolDoesNotTellThatItKnowsAll)
    {
        startNodes(usualNodes, newer, { old, newer });
        m_nodes[1]->m_board.m_configuration = nullptr;
        for (auto node = std::size_t { 2 }; node < m_nodes.size(); ++node)
            m_nodes[node]->m_board.m_configuration = std::make_shared<const RoutingConfiguration>();
        EXPECT_EQ(findAt(1), std::nullopt);
        EXPECT_EQ(findAt(0), std::nullopt);
    }

    TEST_F(StreamOriginExchangeTest, AStreamMayHaveBegunAtARunThatNoEntryTellsOf)
    {
        startNodes(usualNodes, old, { old });
        auto& table = m_nodes[2]->m_board.m_upstreams;
        table.m_upstreams.begin()->second->m_unlistedSoftware = newer;
        ++table.m_softwareChanges;
        EXPECT_EQ(findAt(1), std::nullopt);
    }

    // Of twelve nodes all but one were started anew, and the one that remembers is not among the first asked.
    TEST_F(StreamOriginExchangeTest, AStreamIsKnownAsLongAsAnyNodeThatKeepsItIsLeft)
    {
        constexpr auto nodes = 12;
        startNodes(nodes, newer, { old, newer });
        auto notice = messages::OriginNoticeT();
        notice.origins.emplace_back(stream, old);
        auto builder = flatbuffers::FlatBufferBuilder();
        builder.Finish(messages::OriginNotice::Pack(builder, &notice));
        const auto last
            = originKeepers(m_nodes[0]->m_board.m_fleet, stream, nodes, std::chrono::steady_clock::now())
                  .back();
        for (auto& node : m_nodes) {
            if (node->m_address == last)
                node->m_origins.handle(
                    *flatbuffers::GetRoot<messages::OriginNotice>(builder.GetBufferPointer()));
        }
        EXPECT_EQ(findAt(0), old);
    }

    TEST_F(StreamOriginExchangeTest, OneNodeWritesWhatBeginsToServe)
    {
        startNodes(usualNodes, old, { old });
        const auto written = m_store.m_writes;
        beginRelease();
        runFor(historyTime);
        EXPECT_EQ(m_store.m_writes, written + 1);
        const auto& content = m_store.m_objects.at({ "software", "history" }).m_content;
        EXPECT_EQ(toHistory(content)->m_software.at(pool), (std::set<SoftwareId> { old, newer }));
    }

    // What an earlier node wrote there may be lost.
    TEST_F(StreamOriginExchangeTest, AHistoryFromBeforeTheStoreWasRestoredDoesNotTellAll)
    {
        m_store.m_era = 2;
        startNodes(usualNodes, old, { old });
        EXPECT_EQ(findAt(1), std::nullopt);
    }

} // namespace
} // namespace marigoldladder::relay
