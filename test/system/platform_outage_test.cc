// The platform is down, silent or slow: nodes serve on from memory and do not crowd it.
#include "system/named_addresses.h"

#include <gtest/gtest.h>

namespace marigoldladder::harness {
namespace {

    class PlatformOutageTest : public ::testing::TestWithParam<const char*> {
    protected:
        PlatformOutageTest()
            : m_deployment(planOfNodes(3))
        {
            EXPECT_TRUE(m_deployment.waitUntilServing());
            EXPECT_EQ(m_deployment.applyNote(0, basicNote(2))->status, 200);
            EXPECT_TRUE(waitUntil(withinSeconds, [&] { return ask(1) == 200 && ask(2) == 200; }));
            EXPECT_TRUE(waitUntil(withinSeconds, [&] { return allName(m_deployment, 3, noNode); }));
        }

        auto ask(std::size_t node) -> int
        {
            auto caller = makeCaller(m_deployment.node(node).m_caller, basicKey);
            const auto answer
                = caller.Post("/v1/completions", completionBody("adapter-1@1", 2, false), "application/json");
            return answer ? answer->status : 0;
        }

        // Calls about VMs and nodes that the platform has counted.
        auto memberCalls() -> int
        {
            const auto kinds = m_deployment.platformStats()["by_kind"];
            return kinds.value("vms", 0) + kinds.value("nodes", 0);
        }

        auto outage() -> nlohmann::json
        {
            const auto mode = std::string(GetParam());
            return mode == "slow" ? nlohmann::json { { "delay_ms", 3000 } }
                                  : nlohmann::json { { "mode", mode } };
        }

        Deployment m_deployment;
    };

    TEST_P(PlatformOutageTest, ServesFromMemoryAndNamesAllNodes)
    {
        m_deployment.setPlatformFault(outage());
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(8);
        while (std::chrono::steady_clock::now() < end) {
            for (auto i = std::size_t { 0 }; i < m_deployment.nodeCount(); ++i)
                ASSERT_EQ(ask(i), 200)
                    << "expected node " << i << " to serve while the platform is " << GetParam();
            ASSERT_EQ(namedBy(m_deployment.node(0)).size(), 3U);
        }
        m_deployment.setPlatformFault({ { "mode", "up" }, { "delay_ms", 0 } });
        m_deployment.setUpstreamState("triage-1", "leaving");
        EXPECT_EQ(ask(0), 200);
    }

    TEST_P(PlatformOutageTest, CallsLessOftenThanOnceASecondAndNode)
    {
        constexpr auto settleTime = std::chrono::seconds(4);
        constexpr auto countedSeconds = 8;
        m_deployment.setPlatformFault(outage());
        std::this_thread::sleep_for(settleTime);
        const auto before = memberCalls();
        std::this_thread::sleep_for(std::chrono::seconds(countedSeconds));
        const auto perNode = static_cast<double>(memberCalls() - before) / 3;
        EXPECT_LE(perNode, countedSeconds) << "expected calls about members to back off";
    }

    TEST_P(PlatformOutageTest, LetsANodeThatStartsMeanwhileFindItsPeers)
    {
        m_deployment.setPlatformFault(outage());
        const auto seeds = nlohmann::json::array(
            { formatAddress(m_deployment.node(0).m_peer), formatAddress(m_deployment.node(1).m_peer) });
        const auto index = m_deployment.addNode({ "entry-new", "olten", { { "seed_peers", seeds } } });
        EXPECT_TRUE(waitUntil(withinSeconds, [&] {
            const auto named = namedBy(m_deployment.node(index));
            return named.contains("entry-0") && named.contains("entry-1") && named.contains("entry-2");
        })) << "expected the new node to name its peers within 4 s";
    }

    INSTANTIATE_TEST_SUITE_P(Modes, PlatformOutageTest, ::testing::Values("down", "hang", "slow"),
        [](const auto& info) { return std::string(info.param); });

} // namespace
} // namespace marigoldladder::harness
