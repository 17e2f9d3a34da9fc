// The ports of nodes for each other: silent links, and strangers who speak to them.
#include "system/named_addresses.h"
#include "wire/socket.h"

#include <gtest/gtest.h>

namespace marigoldladder::harness {
namespace {

    class PeersTest : public ::testing::Test {
    protected:
        auto start(DeploymentPlan plan) -> void
        {
            m_deployment.emplace(std::move(plan));
            ASSERT_TRUE(m_deployment->waitUntilServing());
            ASSERT_EQ(m_deployment->applyNote(0, basicNote(4))->status, 200);
            const auto count = m_deployment->nodeCount();
            ASSERT_TRUE(waitUntil(withinSeconds, [&] { return allName(*m_deployment, count, noNode); }));
            ASSERT_TRUE(waitUntil(withinSeconds, [&] { return ask(1, 0) == 200; }));
        }

        auto ask(std::size_t node, std::size_t adapter) -> int
        {
            const auto model = "adapter-" + std::to_string(adapter % 4) + "@1";
            auto caller = makeCaller(m_deployment->node(node).m_caller, basicKey);
            const auto answer
                = caller.Post("/v1/completions", completionBody(model, 2, false), "application/json");
            return answer ? answer->status : 0;
        }

        std::optional<Deployment> m_deployment;
    };

    TEST_F(PeersTest, ReplacesLinksThatWentSilentAndServesOn)
    {
        auto plan = planOfNodes(3);
        plan.m_proxyPeers = true;
        start(std::move(plan));
        for (auto i = std::size_t { 0 }; i < m_deployment->nodeCount(); ++i)
            m_deployment->node(i).m_peerProxy.silence();
        for (auto i = std::size_t { 0 }; i < 24; ++i)
            ASSERT_EQ(ask(i % 3, i), 200) << "expected request " << i << " to be served after the silence";
        EXPECT_TRUE(waitUntil(withinSeconds, [&] { return allName(*m_deployment, 3, noNode); }));
    }

    TEST_F(PeersTest, SuspectsNobodyInAQuietFleet)
    {
        auto plan = planOfNodes(3);
        start(std::move(plan));
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(3);
        while (std::chrono::steady_clock::now() < end)
            ASSERT_TRUE(allName(*m_deployment, 3, noNode)) << "expected no false suspicion in a quiet fleet";
    }

    TEST_F(PeersTest, ClosesAConnectionOfACallerAndIsUnharmed)
    {
        start(planOfNodes(2));
        for (auto i = 0; i < 20; ++i) {
            auto stranger
                = httplib::Client(m_deployment->node(0).m_peer.m_host, m_deployment->node(0).m_peer.m_port);
            stranger.set_read_timeout(std::chrono::seconds(5));
            stranger.set_bearer_token_auth(basicKey);
            EXPECT_FALSE(
                stranger.Post("/v1/completions", completionBody("adapter-0@1", 2, false), "application/json"))
                << "expected no answer to a caller at the peers' port";
        }
        EXPECT_EQ(ask(0, 0), 200);
        EXPECT_EQ(namedBy(m_deployment->node(1)).size(), 2U);
    }

    TEST_F(PeersTest, ServesPeersThoughStrangersHoldHalfOpenConnections)
    {
        start(planOfNodes(2));
        auto held = std::vector<Socket>();
        for (auto i = 0; i < 300; ++i) {
            auto socket = connectTo(m_deployment->node(0).m_peer, std::chrono::milliseconds(500));
            if (socket)
                held.push_back(std::move(socket.value()));
        }
        const auto end = std::chrono::steady_clock::now() + withinSeconds;
        for (auto i = std::size_t { 0 }; std::chrono::steady_clock::now() < end; ++i)
            ASSERT_EQ(ask(i % 2, i), 200);
        EXPECT_EQ(namedBy(m_deployment->node(1)).size(), 2U) << "expected peers to get through";
    }

} // namespace
} // namespace marigoldladder::harness
