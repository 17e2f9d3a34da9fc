#include "relay/allowance_exchange.h"

#include "relay/generated/peer_messages_generated.h"
#include "relay/relay_fixtures.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <limits>

namespace marigoldladder::relay {
namespace {

    constexpr auto port = 28'610;

    auto organisation() -> Organisation
    {
        auto result = Organisation();
        result.m_name = OrganisationName("acme");
        result.m_tokensPerSecond = 100'000;
        result.m_burstTokens = 15'000; // One shard.
        return result;
    }

    // A node with its own address. All nodes have the same incarnation, as if started in the same
    // microsecond.
    struct Node {
        Node(
            net::io_context& context, const std::string& host, const std::string& name, double processorShare)
            : m_settings(settingsOf(host, name, processorShare))
            , m_socket(context.get_executor())
            , m_allowances(context.get_executor(), m_settings, m_board, m_socket, sameIncarnation)
        {
            auto configuration = RoutingConfiguration();
            configuration.m_organisations = { organisation() };
            m_board.m_configuration = std::make_shared<const RoutingConfiguration>(std::move(configuration));
            m_board.m_fleet.m_membersRead = true;
        }

        static auto settingsOf(const std::string& host, const std::string& name, double processorShare)
            -> RelaySettings
        {
            auto settings = RelaySettings();
            settings.m_vm = VmName(name);
            settings.m_peerAddress = Address { host, port };
            settings.m_processorShare = processorShare;
            return settings;
        }

        auto open() -> bool
        {
            return m_socket.open(m_settings.m_peerAddress, m_board.m_metrics,
                [this](const messages::Datagram& datagram, std::string_view, const Address& from) {
                    if (const auto* request = datagram.message_as_ChargeRequest())
                        m_allowances.handle(*request, from);
                    if (const auto* answer = datagram.message_as_ChargeAnswer())
                        m_allowances.handle(*answer);
                    if (const auto* refund = datagram.message_as_Refund())
                        m_allowances.handle(*refund);
                });
        }

        auto addPeer(const Node& other) -> void
        {
            auto& peer = m_board.m_fleet.m_peers[other.m_settings.m_vm];
            peer.m_vm = other.m_settings.m_vm;
            peer.m_peerAddress = other.m_settings.m_peerAddress;
            peer.m_processorShare = other.m_settings.m_processorShare;
            peer.m_ready = other.m_settings.m_processorShare > 0;
            peer.m_lastReceivedAt = std::chrono::steady_clock::now();
            peer.m_livenessTimeout = Milliseconds(60'000);
        }

        static constexpr auto sameIncarnation = Incarnation { 77 };
        RelaySettings m_settings;
        RelayBoard m_board;
        PeerSocket m_socket;
        AllowanceExchange m_allowances;
    };

    class AllowanceExchangeTest : public testing::Test {
    protected:
        auto SetUp() -> void override
        {
            for (auto* node : { &m_owner, &m_left, &m_right }) {
                ASSERT_TRUE(node->open());
                for (auto* other : { &m_owner, &m_left, &m_right }) {
                    if (other != node)
                        node->addPeer(*other);
                }
                const auto isOwner = node == &m_owner;
                node->m_allowances.start([isOwner] { return isOwner; });
            }
            runFor(Milliseconds(450));
        }

        auto runFor(Milliseconds time) -> void
        {
            m_context.restart();
            m_context.run_for(time);
        }

        auto charge(Node& node, double tokens) -> AllowanceDecision
        {
            auto result = std::optional<AllowanceDecision>();
            net::co_spawn(m_context, node.m_allowances.charge(m_organisation, tokens),
                [&](const std::exception_ptr&, const AllowanceDecision& decision) { result = decision; });
            for (auto step = 0; step < 200 && !result; ++step)
                runFor(Milliseconds(5));
            EXPECT_TRUE(result) << "no decision within a second";
            return result.value_or(AllowanceDecision());
        }

        Organisation m_organisation = organisation();
        net::io_context m_context;
        Node m_owner { m_context, loopbackHost(11), "owner", 0.5 };
        Node m_left { m_context, loopbackHost(12), "left", 0 };
        Node m_right { m_context, loopbackHost(13), "right", 0 };
    };

    TEST_F(AllowanceExchangeTest, ANodeThatOwnsNoShardChargesItAtItsOwner)
    {
        const auto decision = charge(m_left, 1'000);
        EXPECT_EQ(decision.m_outcome, AllowanceOutcome::Granted);
        EXPECT_EQ(decision.m_owner, VmName("owner"));
    }

    // Guards against taking the second node's request for a resent request of the first, so that it is not
    // charged. This happened at a site.
    TEST_F(AllowanceExchangeTest, NodesThatStartedInTheSameMicrosecondAreDistinguished)
    {
        const auto first = charge(m_left, 1'000);
        const auto second = charge(m_right, 1'000);
        ASSERT_EQ(first.m_outcome, AllowanceOutcome::Granted);
        ASSERT_EQ(second.m_outcome, AllowanceOutcome::Granted);
        EXPECT_NE(first.m_charge.m_charge, second.m_charge.m_charge) << "two requests were charged as one";
    }

    TEST_F(AllowanceExchangeTest, SpentAllowancesAreRefusedWithARetryTime)
    {
        auto decision = charge(m_left, 5'000);
        for (auto request = 0; request < 40 && decision.m_outcome == AllowanceOutcome::Granted; ++request)
            decision = charge(m_left, 5'000);
        EXPECT_EQ(decision.m_outcome, AllowanceOutcome::Spent);
        EXPECT_GT(decision.m_retryAfter, Milliseconds(0));
    }

    TEST_F(AllowanceExchangeTest, ChargesAndRefundsOfInvalidTokenCountsHaveNoEffect)
    {
        const auto first = charge(m_left, 1'000);
        for (const auto tokens : { -1e9, std::numeric_limits<double>::quiet_NaN() }) {
            EXPECT_EQ(charge(m_left, tokens).m_outcome, AllowanceOutcome::Unknown);
            auto refund = first;
            refund.m_tokens = tokens;
            m_left.m_allowances.refund(refund);
        }
        runFor(Milliseconds(20));
        auto granted = 0;
        while (charge(m_left, 5'000).m_outcome == AllowanceOutcome::Granted && granted < 40)
            ++granted;
        EXPECT_LE(granted, 10) << "expected a burst of three and what is refilled meanwhile";
    }

    TEST_F(AllowanceExchangeTest, AnUnresponsiveOwnerYieldsUnknownSoonAndIsNotRetriedAtOnce)
    {
        m_left.m_board.m_fleet.m_peers.at(VmName("owner")).m_peerAddress = Address { loopbackHost(14), port };
        const auto begun = std::chrono::steady_clock::now();
        EXPECT_EQ(charge(m_left, 1'000).m_outcome, AllowanceOutcome::Unknown);
        EXPECT_LT(std::chrono::steady_clock::now() - begun, Milliseconds(600));
        const auto again = std::chrono::steady_clock::now();
        EXPECT_EQ(charge(m_left, 1'000).m_outcome, AllowanceOutcome::Unknown);
        EXPECT_LT(std::chrono::steady_clock::now() - again, Milliseconds(60))
            << "the owner is known to be unresponsive";
    }

} // namespace
} // namespace marigoldladder::relay
