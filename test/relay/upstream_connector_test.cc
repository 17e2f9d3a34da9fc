// A node that can't connect to an upstream, and a peer that can.
#include "relay/upstream_connector.h"

#include "relay/peer_server.h"
#include "relay/relay_fixtures.h"
#include "relay/tunnel_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <netinet/tcp.h>
#include <optional>

namespace marigoldladder::relay {
namespace {

    using Clock = std::chrono::steady_clock;
    using Acceptor = net::ip::tcp::acceptor;

    constexpr auto nodeHost = 212;
    constexpr auto peerHost = 213;
    constexpr auto upstreamHost = 214;
    constexpr auto connectTime = Milliseconds(300);
    constexpr auto maxTime = std::chrono::seconds(5);

    auto listenAt(net::io_context& context, int host) -> std::unique_ptr<Acceptor>
    {
        const auto address = net::ip::make_address(loopbackHost(host));
        return std::make_unique<Acceptor>(context, net::ip::tcp::endpoint(address, 0));
    }

    auto addressOf(const Acceptor& acceptor) -> Address
    {
        const auto endpoint = acceptor.local_endpoint();
        return { endpoint.address().to_string(), endpoint.port() };
    }

    // An address at which nobody listens.
    auto deadAddress(net::io_context& context) -> Address
    {
        return addressOf(*listenAt(context, upstreamHost));
    }

    class UpstreamConnectorTest : public testing::Test {
    protected:
        UpstreamConnectorTest()
        {
            m_settings.m_vm = VmName("node");
            m_settings.m_peerAddress = { loopbackHost(nodeHost), 0 };
            auto& node = m_peerBoard.m_fleet.m_peers[VmName("node")];
            node.m_peerAddress = m_settings.m_peerAddress;
            node.m_lastReceivedAt = Clock::now();
            node.m_livenessTimeout = Milliseconds(60'000);
            auto& peer = m_board.m_fleet.m_peers[VmName("peer")];
            peer.m_vm = VmName("peer");
            peer.m_ready = true;
            peer.m_lastReceivedAt = Clock::now();
            peer.m_livenessTimeout = Milliseconds(60'000);
            peer.m_peerAddress = { loopbackHost(peerHost), 7'100 };
            while (!m_peerServer.listen(peer.m_peerAddress))
                ++peer.m_peerAddress.m_port; // Another test process of the same number may have it.
        }

        // Adds an upstream that the peer finds at `seenByPeer`, and the node at an address of its own, where
        // nobody listens: the entry's name tells them that it is the same one.
        auto addUpstream(const std::string& name, const Address& seenByPeer) -> UpstreamPointer
        {
            return addUpstreamAt(name, deadAddress(m_context), seenByPeer);
        }

        auto addUpstreamAt(const std::string& name, const Address& seenByNode, const Address& seenByPeer)
            -> UpstreamPointer
        {
            auto record = engineRecord(name);
            record.m_address = seenByPeer;
            applyUpstreamRecord(m_peerBoard.m_upstreams, record, Clock::now());
            record.m_address = seenByNode;
            applyUpstreamRecord(m_board.m_upstreams, record, Clock::now());
            return m_board.m_upstreams.m_upstreams.at(record.m_name);
        }

        auto run(std::function<Awaitable<void>()> task) -> void
        {
            auto done = false;
            const auto body = [&]() -> Awaitable<void> {
                auto running = task();
                co_await std::move(running);
                done = true;
            };
            m_context.restart();
            net::co_spawn(m_context, body(), net::detached);
            const auto until = Clock::now() + maxTime;
            while (!done && Clock::now() < until)
                m_context.run_one_for(maxTime);
            ASSERT_TRUE(done);
        }

        auto connect(const UpstreamPointer& upstream) -> ConnectResult
        {
            auto result = ConnectResult();
            m_stream.close();
            run([&]() -> Awaitable<void> {
                result = co_await m_connector.connect(m_stream, upstream, connectTime);
            });
            return result;
        }

        auto send(tcp_stream& from, const std::string& bytes) -> void
        {
            run([&]() -> Awaitable<void> {
                auto error = ErrorCode();
                co_await net::async_write(from, net::buffer(bytes), errorTo(error));
            });
        }

        // Sends until the other end, which reads nothing, gets no more.
        static auto fillBuffers(tcp_stream& stream) -> void
        {
            const auto bytes = std::string(std::size_t { 64 } << 10, 'x');
            auto error = ErrorCode();
            stream.socket().non_blocking(true);
            while (!error)
                stream.socket().write_some(net::buffer(bytes), error);
            EXPECT_EQ(error, ErrorCode(net::error::would_block));
        }

        // Returns what arrives, and how the connection ends if it does within that length.
        auto receive(tcp_stream& to, std::size_t length) -> std::pair<std::string, ErrorCode>
        {
            auto bytes = std::string(length, '\0');
            auto error = ErrorCode();
            run([&]() -> Awaitable<void> {
                to.expires_after(maxTime / 2);
                bytes.resize(co_await net::async_read(to, net::buffer(bytes), errorTo(error)));
            });
            return { bytes, error };
        }

        net::io_context m_context { 1 };
        Metrics m_metrics;
        RelaySettings m_settings;
        RelayBoard m_board;
        RelayBoard m_peerBoard;
        TunnelServer m_tunnels { m_context.get_executor(), m_settings, m_peerBoard };
        PeerServer m_peerServer { m_context.get_executor(), capacityOf(RelaySettings()), m_metrics, {},
            [this](std::shared_ptr<tcp_stream> stream, std::string message) {
                return m_tunnels.serve(std::move(stream), std::move(message));
            } };
        UpstreamConnector m_connector { m_context.get_executor(), m_settings, m_board };
        tcp_stream m_stream { m_context };
        std::unique_ptr<Acceptor> m_upstream = listenAt(m_context, upstreamHost);
    };

    // Issue 47: callers of a node that had lost its links to all upstreams were refused.
    TEST_F(UpstreamConnectorTest, ReachesAnUpstreamThroughAPeerWhenItsOwnPathIsBlocked)
    {
        const auto upstream = addUpstream("i-1", addressOf(*m_upstream));
        const auto result = connect(upstream);
        ASSERT_EQ(result.m_outcome, ConnectOutcome::Connected);
        EXPECT_EQ(result.m_via, VmName("peer"));
        EXPECT_TRUE(isPathBlocked(m_board, *upstream));
        auto other = tcp_stream(m_upstream->accept());
        send(m_stream, "a request");
        EXPECT_EQ(receive(other, 9).first, "a request");
        send(other, "an answer");
        EXPECT_EQ(receive(m_stream, 9).first, "an answer");
    }

    TEST_F(UpstreamConnectorTest, TakesAnUpstreamForDownIfThePeerIsRefusedToo)
    {
        const auto result = connect(addUpstream("i-1", deadAddress(m_context)));
        EXPECT_EQ(result.m_outcome, ConnectOutcome::Refused);
        EXPECT_TRUE(m_board.m_ownLinks.m_blocked.empty());
    }

    // A peer that has just lost its links too is refused as well, and doesn't know why.
    TEST_F(UpstreamConnectorTest, AsksAnotherPeerAfterOneThatIsRefused)
    {
        const auto upstream = addUpstream("i-1", addressOf(*m_upstream));
        auto cutBoard = RelayBoard();
        cutBoard.m_fleet = m_peerBoard.m_fleet;
        auto record = engineRecord("i-1");
        record.m_address = deadAddress(m_context);
        applyUpstreamRecord(cutBoard.m_upstreams, record, Clock::now());
        auto cutTunnels = TunnelServer(m_context.get_executor(), m_settings, cutBoard);
        auto cutServer = PeerServer(m_context.get_executor(), capacityOf(m_settings), m_metrics, {},
            [&](std::shared_ptr<tcp_stream> stream, std::string message) {
                return cutTunnels.serve(std::move(stream), std::move(message));
            });
        auto& cut = m_board.m_fleet.m_peers[VmName("cut")];
        cut = m_board.m_fleet.m_peers.at(VmName("peer"));
        cut.m_vm = VmName("cut");
        cut.m_dataCentre = upstream->m_record.m_dataCentre; // So that it is asked first.
        while (!cutServer.listen(cut.m_peerAddress))
            ++cut.m_peerAddress.m_port;
        const auto result = connect(upstream);
        EXPECT_EQ(result.m_outcome, ConnectOutcome::Connected);
        EXPECT_EQ(result.m_via, VmName("peer"));
        run([&]() -> Awaitable<void> { co_await sleepFor(Milliseconds(50)); });
    }

    TEST_F(UpstreamConnectorTest, TakesItsOwnWordWithoutAPeer)
    {
        m_board.m_fleet.m_peers.clear();
        const auto result = connect(addUpstream("i-1", addressOf(*m_upstream)));
        EXPECT_EQ(result.m_outcome, ConnectOutcome::Refused);
        EXPECT_TRUE(m_board.m_ownLinks.m_blocked.empty());
    }

    TEST_F(UpstreamConnectorTest, AsksNoPeerWhileItsOwnPathIsOpen)
    {
        const auto address = addressOf(*m_upstream);
        const auto result = connect(addUpstreamAt("i-1", address, address));
        EXPECT_EQ(result.m_outcome, ConnectOutcome::Connected);
        EXPECT_FALSE(result.m_via);
        EXPECT_EQ(m_peerBoard.m_metrics.value(Counter::TunnelsCarried), 0U);
    }

    TEST_F(UpstreamConnectorTest, IsStrandedAfterTwoBlockedPathsAndForgetsWhatItSawOfUpstreams)
    {
        const auto first = addUpstream("i-1", addressOf(*m_upstream));
        const auto second = addUpstream("i-2", addressOf(*m_upstream));
        const auto third = addUpstream("i-3", addressOf(*m_upstream));
        third->m_health.m_avoidUntil = Clock::now() + maxTime;
        third->m_reachability.m_refusedAt = Clock::now();
        ASSERT_EQ(connect(first).m_outcome, ConnectOutcome::Connected);
        EXPECT_FALSE(isStranded(m_board));
        ASSERT_EQ(connect(second).m_outcome, ConnectOutcome::Connected);
        EXPECT_TRUE(isStranded(m_board));
        EXPECT_EQ(third->m_health.m_avoidUntil, MonotonicTime());
        EXPECT_EQ(third->m_reachability.m_refusedAt, MonotonicTime());
    }

    TEST_F(UpstreamConnectorTest, ReturnsToItsOwnPathOnceThatIsOpen)
    {
        const auto upstream = addUpstream("i-1", addressOf(*m_upstream));
        ASSERT_EQ(connect(upstream).m_via, VmName("peer"));
        EXPECT_TRUE(m_connector.mayUse(*upstream, VmName("peer")));
        upstream->m_record.m_address = addressOf(*m_upstream);
        upstream->m_nextPathTryAt = {};
        m_connector.tryBlockedPaths();
        run([&]() -> Awaitable<void> { co_await sleepFor(Milliseconds(100)); });
        EXPECT_FALSE(isPathBlocked(m_board, *upstream));
        EXPECT_FALSE(m_connector.mayUse(*upstream, VmName("peer")));
        EXPECT_FALSE(connect(upstream).m_via);
    }

    // An answer without a length ends with its connection, and one that is reset isn't whole.
    TEST_F(UpstreamConnectorTest, TellsAResetOfTheUpstreamFromItsClose)
    {
        const auto upstream = addUpstream("i-1", addressOf(*m_upstream));
        ASSERT_EQ(connect(upstream).m_outcome, ConnectOutcome::Connected);
        auto other = tcp_stream(m_upstream->accept());
        send(other, "whole");
        other.close();
        EXPECT_EQ(receive(m_stream, 6), std::pair(std::string("whole"), ErrorCode(net::error::eof)));
        m_stream.close();
        ASSERT_EQ(connect(upstream).m_outcome, ConnectOutcome::Connected);
        auto broken = tcp_stream(m_upstream->accept());
        broken.socket().set_option(net::socket_base::linger(true, 0));
        broken.close();
        EXPECT_EQ(receive(m_stream, 1).second, ErrorCode(net::error::connection_reset));
    }

    // Issue 40: what a network cut held up reached upstreams after their data centre had been evacuated.
    TEST_F(UpstreamConnectorTest, AnUpstreamGetsNothingMoreOfARequestThatWasGivenUp)
    {
        const auto address = addressOf(*m_upstream);
        ASSERT_EQ(connect(addUpstreamAt("i-1", address, address)).m_outcome, ConnectOutcome::Connected);
        auto other = tcp_stream(m_upstream->accept());
        fillBuffers(m_stream);
        m_stream.close();
        EXPECT_EQ(receive(other, std::size_t { 64 } << 20).second, ErrorCode(net::error::connection_reset));
    }

    TEST_F(UpstreamConnectorTest, TheKernelEndsNoConnectionToAnUpstreamByItself)
    {
        const auto address = addressOf(*m_upstream);
        ASSERT_EQ(connect(addUpstreamAt("i-1", address, address)).m_outcome, ConnectOutcome::Connected);
        auto probing = net::socket_base::keep_alive();
        m_stream.socket().get_option(probing);
        EXPECT_FALSE(probing.value());
        using UserTimeout = net::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
        auto timeout = UserTimeout();
        m_stream.socket().get_option(timeout);
        EXPECT_EQ(timeout.value(), 0);
    }

    // The upstream must not work on for a caller that has left.
    TEST_F(UpstreamConnectorTest, ClosesTheUpstreamsConnectionWithItsOwn)
    {
        ASSERT_EQ(connect(addUpstream("i-1", addressOf(*m_upstream))).m_outcome, ConnectOutcome::Connected);
        auto other = tcp_stream(m_upstream->accept());
        EXPECT_EQ(m_peerBoard.m_tunnels, 1U);
        m_stream.close();
        EXPECT_EQ(receive(other, 1).second, ErrorCode(net::error::connection_reset));
        EXPECT_EQ(m_peerBoard.m_tunnels, 0U);
    }

    TEST_F(UpstreamConnectorTest, APeerOpensNoTunnelThatItWouldHaveToLeadOn)
    {
        const auto upstream = addUpstream("i-1", addressOf(*m_upstream));
        m_peerBoard.m_upstreams.m_upstreams.at(UpstreamName("i-1"))->m_pathBlocked = true;
        EXPECT_NE(connect(upstream).m_outcome, ConnectOutcome::Connected);
    }

    TEST_F(UpstreamConnectorTest, APeerThatStopsOpensNoTunnel)
    {
        m_peerBoard.m_leaving = true;
        EXPECT_NE(connect(addUpstream("i-1", addressOf(*m_upstream))).m_outcome, ConnectOutcome::Connected);
    }

    TEST_F(UpstreamConnectorTest, APeerOpensNoTunnelToALeavingUpstream)
    {
        const auto upstream = addUpstream("i-1", addressOf(*m_upstream));
        m_peerBoard.m_upstreams.m_upstreams.at(UpstreamName("i-1"))->m_record.m_leaving = true;
        EXPECT_NE(connect(upstream).m_outcome, ConnectOutcome::Connected);
    }

    // A caller must not be able to pose as a node.
    TEST_F(UpstreamConnectorTest, APeerOpensNoTunnelForAMachineThatIsNoNode)
    {
        m_peerBoard.m_fleet.m_peers.clear();
        EXPECT_NE(connect(addUpstream("i-1", addressOf(*m_upstream))).m_outcome, ConnectOutcome::Connected);
    }

} // namespace
} // namespace marigoldladder::relay
