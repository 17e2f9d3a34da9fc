#include "relay/room_exchange.h"

#include "relay/brittle_pools.h"
#include "relay/generated/peer_messages_generated.h"
#include "relay/relay_fixtures.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    constexpr auto port = 28'612;
    constexpr auto refusalsPerSecond = 5.0;

    // A node with its own address that knows the upstream.
    struct Node {
        Node(net::io_context& context, const std::string& host, const std::string& name, Incarnation run)
            : m_incarnation(run)
            , m_settings(settingsOf(host, name))
            , m_socket(context.get_executor())
            , m_rooms(context.get_executor(), m_settings, m_board, m_socket, run)
        {
            m_board.m_fleet.m_membersRead = true;
            m_board.m_nodes = 2;
            applyUpstreamRecord(m_board.m_upstreams, engineRecord("i-1"), at(0));
            upstream()->m_record.m_slots = 4;
        }

        static auto settingsOf(const std::string& host, const std::string& name) -> RelaySettings
        {
            auto settings = RelaySettings();
            settings.m_vm = VmName(name);
            settings.m_peerAddress = Address { host, port };
            return settings;
        }

        auto open() -> bool
        {
            return m_socket.open(m_settings.m_peerAddress, m_board.m_metrics,
                [this](const messages::Datagram& datagram, std::string_view, const Address& from) {
                    if (const auto* request = datagram.message_as_RoomRequest())
                        m_rooms.handle(*request, from);
                    if (const auto* answer = datagram.message_as_RoomAnswer())
                        m_rooms.handle(*answer);
                    const auto* report = datagram.message_as_RoomReport();
                    if (report && m_lostReports > 0)
                        --m_lostReports;
                    else if (report)
                        m_rooms.handle(*report, from);
                    if (const auto* receipt = datagram.message_as_RoomReceipt())
                        m_rooms.handle(*receipt);
                });
        }

        auto addPeer(const Node& other, bool isReady) -> void
        {
            auto& peer = m_board.m_fleet.m_peers[other.m_settings.m_vm];
            peer.m_vm = other.m_settings.m_vm;
            peer.m_incarnation = other.m_incarnation;
            peer.m_peerAddress = other.m_settings.m_peerAddress;
            peer.m_ready = isReady;
            peer.m_lastReceivedAt = std::chrono::steady_clock::now();
            peer.m_livenessTimeout = Milliseconds(60'000);
        }

        auto upstream() -> UpstreamPointer { return m_board.m_upstreams.m_upstreams.at(UpstreamName("i-1")); }

        auto learnBrittleness() -> void
        {
            const auto now = std::chrono::steady_clock::now();
            (void)recordBrittleness(m_board.m_upstreams, upstream()->m_record.m_pool, refusalsPerSecond, now);
        }

        auto grants() -> std::size_t { return upstream()->m_room.m_ledger.m_grants.size(); }

        Incarnation m_incarnation;
        RelaySettings m_settings;
        RelayBoard m_board;
        PeerSocket m_socket;
        RoomExchange m_rooms;
        int m_lostReports = 0; // That don't arrive.
    };

    class RoomExchangeTest : public testing::Test {
    protected:
        auto SetUp() -> void override
        {
            ASSERT_TRUE(m_owner.open());
            ASSERT_TRUE(m_sender.open());
            m_owner.addPeer(m_sender, false);
            m_sender.addPeer(m_owner, true);
            m_owner.m_rooms.start([] { return true; });
            m_sender.m_rooms.start([] { return false; });
            runFor(Milliseconds(50));
        }

        auto runFor(Milliseconds time) -> void
        {
            m_context.restart();
            m_context.run_for(time);
        }

        auto acquire(Node& node) -> RoomAcquisition
        {
            auto result = std::optional<RoomAcquisition>();
            net::co_spawn(m_context, node.m_rooms.acquire(node.upstream()),
                [&](const std::exception_ptr&, RoomAcquisition acquired) { result = std::move(acquired); });
            for (auto step = 0; step < 200 && !result; ++step)
                runFor(Milliseconds(5));
            EXPECT_TRUE(result) << "no result within a second";
            return result ? std::move(*result) : RoomAcquisition();
        }

        // Returns room that the owner granted, once it knows what the nodes have in flight.
        auto acquireAfterReports(Node& node) -> RoomAcquisition
        {
            node.learnBrittleness();
            EXPECT_FALSE(acquire(node).m_isGranted);
            runFor(Milliseconds(400));
            return acquire(node);
        }

        net::io_context m_context;
        Node m_owner { m_context, loopbackHost(18), "owner", 77 };
        Node m_sender { m_context, loopbackHost(19), "sender", 1'000'077 };
    };

    TEST_F(RoomExchangeTest, AnUpstreamThatIsNotBrittleNeedsNoPermit)
    {
        const auto room = acquire(m_sender);
        EXPECT_TRUE(room.m_isGranted);
        EXPECT_FALSE(room.m_permit);
    }

    TEST_F(RoomExchangeTest, ANodeHasRoomOfTheOwnerUntilItsPermitEnds)
    {
        auto room = acquireAfterReports(m_sender);
        ASSERT_TRUE(room.m_permit);
        EXPECT_EQ(m_owner.grants(), 1U);
        room.m_permit = nullptr;
        runFor(Milliseconds(50));
        EXPECT_EQ(m_owner.grants(), 0U);
    }

    TEST_F(RoomExchangeTest, TheOwnerItselfNeedsItsOwnGrant)
    {
        auto room = acquireAfterReports(m_owner);
        ASSERT_TRUE(room.m_permit);
        EXPECT_EQ(m_owner.grants(), 1U);
        room.m_permit->setEnd(RoomEnd::Refused);
        room.m_permit = nullptr;
        EXPECT_EQ(m_owner.grants(), 0U);
        EXPECT_FALSE(acquire(m_owner).m_isGranted);
        EXPECT_GT(m_owner.upstream()->m_room.m_closedUntil, std::chrono::steady_clock::now());
    }

    TEST_F(RoomExchangeTest, ARefusalClosesTheUpstreamForAllNodes)
    {
        auto room = acquireAfterReports(m_sender);
        ASSERT_TRUE(room.m_permit);
        room.m_permit->setEnd(RoomEnd::Refused);
        room.m_permit = nullptr;
        runFor(Milliseconds(20));
        m_owner.learnBrittleness();
        EXPECT_FALSE(acquire(m_owner).m_isGranted);
    }

    TEST_F(RoomExchangeTest, AReportThatIsLostIsSentAgain)
    {
        auto room = acquireAfterReports(m_sender);
        ASSERT_TRUE(room.m_permit);
        m_owner.m_lostReports = 1;
        room.m_permit = nullptr;
        runFor(Milliseconds(200));
        EXPECT_EQ(m_owner.m_lostReports, 0);
        EXPECT_EQ(m_owner.grants(), 0U);
    }

    TEST_F(RoomExchangeTest, WithoutAnAnswerANodeSendsItsShareOfWhatMayBeRefused)
    {
        m_sender.m_board.m_fleet.m_peers.at(VmName("owner")).m_peerAddress
            = Address { loopbackHost(20), port };
        m_sender.learnBrittleness();
        auto sent = 0;
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(2);
        while (std::chrono::steady_clock::now() < until)
            sent += acquire(m_sender).m_isGranted ? 1 : 0;
        EXPECT_GE(sent, 1);
        constexpr auto share = refusalsPerSecond / 2; // Of two nodes.
        EXPECT_LE(sent, share * 2 + 1);
        EXPECT_FALSE(m_sender.upstream()->m_room.m_isAsking);
    }

} // namespace
} // namespace marigoldladder::relay
