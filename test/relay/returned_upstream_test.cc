// Upstreams that start again under the name that they had, cold, before their entry in the store tells of it.
#include "relay/peer_loads.h"
#include "relay/relay_fixtures.h"
#include "relay/upstream_connection_pool.h"
#include "relay/upstream_health.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>
#include <optional>

namespace marigoldladder::relay {
namespace {

    constexpr auto coldTime = Milliseconds(3'000);

    class ReturnedUpstreamTest : public testing::Test {
    protected:
        ReturnedUpstreamTest()
        {
            auto pool = enginePool();
            pool.m_coldTime = coldTime;
            m_board.m_configuration = std::make_shared<const RoutingConfiguration>(configurationWith(pool));
            listen(0);
            auto record = engineRecord("i-1", { "a1" });
            record.m_address = { loopbackHost(hostNumber), m_acceptor->local_endpoint().port() };
            applyUpstreamRecord(m_board.m_upstreams, record, MonotonicTime::clock::now());
            m_upstream = m_board.m_upstreams.m_upstreams.at(record.m_name);
        }

        auto listen(unsigned short port) -> void
        {
            m_acceptor.emplace(
                m_context, net::ip::tcp::endpoint(net::ip::make_address(loopbackHost(hostNumber)), port));
        }

        // Opens a connection; returns whether it was accepted.
        auto connect() -> bool
        {
            auto accepted = false;
            net::co_spawn(
                m_context,
                [&]() -> Awaitable<void> {
                    auto refused = false;
                    m_connections.push_back(co_await m_pool.acquire(m_upstream, {}, refused));
                    accepted = m_connections.back() != nullptr;
                },
                net::detached);
            m_context.run();
            m_context.restart();
            return accepted;
        }

        auto isColdNow() const -> bool { return isCold(*m_upstream, MonotonicTime::clock::now()); }

        static constexpr auto hostNumber = 202;
        net::io_context m_context { 1 };
        RelayBoard m_board;
        RelaySettings m_settings;
        UpstreamConnector m_connector { m_context.get_executor(), m_settings, m_board };
        UpstreamConnectionPool m_pool { m_context.get_executor(), m_board, m_connector };
        std::optional<net::ip::tcp::acceptor> m_acceptor;
        std::vector<UpstreamConnectionPointer> m_connections;
        UpstreamPointer m_upstream;
    };

    // Review 3: it got its full share of requests as soon as it accepted connections again.
    TEST_F(ReturnedUpstreamTest, CountsAsColdOnceItAcceptsConnectionsAgain)
    {
        ASSERT_TRUE(connect());
        EXPECT_FALSE(isColdNow());
        const auto port = m_acceptor->local_endpoint().port();
        m_acceptor.reset();
        EXPECT_FALSE(connect());
        EXPECT_TRUE(isColdNow());
        listen(port);
        EXPECT_TRUE(connect());
        EXPECT_GT(m_upstream->m_coldUntil, MonotonicTime::clock::now() + coldTime / 2);
        const auto coldUntil = m_upstream->m_coldUntil;
        EXPECT_TRUE(connect());
        EXPECT_EQ(m_upstream->m_coldUntil, coldUntil) << "a further connection must not prolong it";
    }

    TEST_F(ReturnedUpstreamTest, KeepsItsLoadIfOnlyItsConnectionsWereReset)
    {
        ASSERT_TRUE(connect());
        auto accepted = m_acceptor->accept();
        accepted.set_option(net::socket_base::linger(true, 0));
        accepted.close();
        EXPECT_TRUE(connect());
        EXPECT_FALSE(isColdNow());
    }

    // Issue 47: nodes that had lost their own links made all others take upstreams for down.
    TEST_F(ReturnedUpstreamTest, TakesBackReportsOfNodesThatTurnOutToBeStranded)
    {
        const auto now = MonotonicTime::clock::now();
        const auto id = shortId(m_upstream->m_record.m_name.value());
        for (const auto* name : { "one", "two" })
            applyUnreachableReports(m_board, VmName(name), { id }, now);
        EXPECT_TRUE(isUnreachable(m_upstream->m_reachability, now));
        dropUnreachableReports(m_board, VmName("one"));
        EXPECT_FALSE(isUnreachable(m_upstream->m_reachability, now));
    }

    TEST_F(ReturnedUpstreamTest, CountsAsColdIfOtherNodesFoundNobodyListening)
    {
        const auto now = MonotonicTime::clock::now();
        const auto id = shortId(m_upstream->m_record.m_name.value());
        applyUnreachableReport(m_board, VmName("one"), id, now);
        EXPECT_FALSE(isColdNow()) << "one node's word may come from its own link";
        applyUnreachableReport(m_board, VmName("two"), id, now);
        EXPECT_TRUE(isColdNow());
    }

} // namespace
} // namespace marigoldladder::relay
