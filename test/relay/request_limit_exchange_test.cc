#include "relay/request_limit_exchange.h"

#include "relay/generated/peer_messages_generated.h"
#include "relay/relay_fixtures.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    constexpr auto port = 28'611;

    // A node with its own address that knows the upstream.
    struct Node {
        Node(net::io_context& context, const std::string& host, const std::string& name)
            : m_settings(settingsOf(host, name))
            , m_socket(context.get_executor())
            , m_limits(context.get_executor(), m_settings, m_board, m_socket, Incarnation { 77 })
        {
            m_board.m_fleet.m_membersRead = true;
            applyUpstreamRecord(m_board.m_upstreams, engineRecord("i-1"), at(0));
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
                    if (const auto* request = datagram.message_as_PermitRequest())
                        m_limits.handle(*request, from);
                    if (const auto* answer = datagram.message_as_PermitAnswer())
                        m_limits.handle(*answer);
                });
        }

        auto addPeer(const Node& other, bool isReady) -> void
        {
            auto& peer = m_board.m_fleet.m_peers[other.m_settings.m_vm];
            peer.m_vm = other.m_settings.m_vm;
            peer.m_peerAddress = other.m_settings.m_peerAddress;
            peer.m_ready = isReady;
            peer.m_lastReceivedAt = std::chrono::steady_clock::now();
            peer.m_livenessTimeout = Milliseconds(60'000);
        }

        auto upstream() -> UpstreamPointer { return m_board.m_upstreams.m_upstreams.at(UpstreamName("i-1")); }

        auto learnLimit(std::optional<double> requestsPerSecond) -> void
        {
            const auto now = std::chrono::steady_clock::now();
            (void)recordLimit(upstream()->m_requestLimit, NamedLimit { requestsPerSecond, now });
        }

        RelaySettings m_settings;
        RelayBoard m_board;
        PeerSocket m_socket;
        RequestLimitExchange m_limits;
    };

    class RequestLimitExchangeTest : public testing::Test {
    protected:
        auto SetUp() -> void override
        {
            ASSERT_TRUE(m_owner.open());
            ASSERT_TRUE(m_sender.open());
            m_owner.addPeer(m_sender, false);
            m_sender.addPeer(m_owner, true);
            m_owner.m_limits.start([] { return true; });
            m_sender.m_limits.start([] { return false; });
            runFor(Milliseconds(50));
        }

        auto runFor(Milliseconds time) -> void
        {
            m_context.restart();
            m_context.run_for(time);
        }

        auto acquire(Node& node) -> bool
        {
            auto result = std::optional<bool>();
            net::co_spawn(m_context, node.m_limits.acquire(node.upstream()),
                [&](const std::exception_ptr&, bool granted) { result = granted; });
            for (auto step = 0; step < 200 && !result; ++step)
                runFor(Milliseconds(5));
            EXPECT_TRUE(result) << "no result within a second";
            return result.value_or(false);
        }

        net::io_context m_context;
        Node m_owner { m_context, loopbackHost(15), "owner" };
        Node m_sender { m_context, loopbackHost(16), "sender" };
    };

    TEST_F(RequestLimitExchangeTest, AnUpstreamWithoutALimitNeedsNoPermit)
    {
        EXPECT_TRUE(acquire(m_sender));
    }

    // The owner learns of the limit by the first request for a permit.
    TEST_F(RequestLimitExchangeTest, ANodeGetsPermitsOfTheOwnerAtTheRateOfTheLimit)
    {
        m_sender.learnLimit(4.0);
        EXPECT_FALSE(acquire(m_sender)) << "expected an owner to start without permits";
        EXPECT_GT(m_sender.upstream()->m_requestLimit.m_closedUntil, std::chrono::steady_clock::now());
        EXPECT_TRUE(isLimited(m_owner.upstream()->m_requestLimit));
        runFor(Milliseconds(1'100));
        auto granted = 0;
        while (granted < 40 && acquire(m_sender))
            ++granted;
        EXPECT_GE(granted, 1);
        EXPECT_LE(granted, 6);
    }

    TEST_F(RequestLimitExchangeTest, AnOwnerThatKnowsThatTheLimitEndedGrantsPermits)
    {
        m_sender.learnLimit(1.0);
        runFor(Milliseconds(5));
        m_owner.learnLimit(1.0);
        m_owner.learnLimit(std::nullopt);
        for (auto request = 0; request < 5; ++request)
            EXPECT_TRUE(acquire(m_sender));
    }

    TEST_F(RequestLimitExchangeTest, AnUnresponsiveOwnerGrantsNothing)
    {
        m_sender.m_board.m_fleet.m_peers.at(VmName("owner")).m_peerAddress
            = Address { loopbackHost(17), port };
        m_sender.learnLimit(1.0);
        EXPECT_FALSE(acquire(m_sender));
        EXPECT_GT(m_sender.upstream()->m_requestLimit.m_closedUntil, std::chrono::steady_clock::now());
        EXPECT_FALSE(m_sender.upstream()->m_requestLimit.m_isAsking);
    }

} // namespace
} // namespace marigoldladder::relay
