// Nodes and data centres that come and go, as callers and upstreams see it.
#include "system/named_addresses.h"

#include <atomic>
#include <gtest/gtest.h>
#include <thread>

namespace marigoldladder::harness {
namespace {

    class MembersTest : public ::testing::Test {
    protected:
        auto start(DeploymentPlan plan) -> void
        {
            m_deployment.emplace(std::move(plan));
            ASSERT_TRUE(m_deployment->waitUntilServing());
            ASSERT_EQ(m_deployment->applyNote(0, basicNote(4))->status, 200);
            const auto count = m_deployment->nodeCount();
            ASSERT_TRUE(waitUntil(withinSeconds, [&] { return allName(*m_deployment, count, noNode); }))
                << "expected every node to name all " << count;
        }

        auto ask(std::size_t node, const std::string& model) -> int
        {
            const auto answer
                = makeCaller(m_deployment->node(node).m_caller, basicKey)
                      .Post("/v1/completions", completionBody(model, 2, false), "application/json");
            return answer ? answer->status : 0;
        }

        auto apply(const nlohmann::json& note, std::size_t node = 0) -> void
        {
            const auto answer = m_deployment->applyNote(node, note);
            ASSERT_TRUE(answer && answer->status == 200) << "expected the note to be taken";
        }

        // Completions that the upstream was asked for later than the moment.
        auto askedSince(const std::string& upstream, std::int64_t moment) -> std::size_t
        {
            auto count = std::size_t { 0 };
            const auto records = m_deployment->upstreamRecords(upstream);
            for (const auto& record : records["requests"]) {
                const auto completion = record["path"].get<std::string>().find("/completions");
                if (completion != std::string::npos && record["at_ms"].get<std::int64_t>() > moment)
                    ++count;
            }
            return count;
        }

        // Sends requests to all nodes but one for a while; returns how many were answered with 200.
        auto sendFor(std::chrono::milliseconds duration, std::size_t except = noNode) -> std::size_t
        {
            auto answered = std::size_t { 0 };
            const auto end = std::chrono::steady_clock::now() + duration;
            for (auto i = std::size_t { 0 }; std::chrono::steady_clock::now() < end; ++i) {
                const auto node = i % m_deployment->nodeCount();
                if (node != except && ask(node, "adapter-" + std::to_string(i % 4) + "@1") == 200)
                    ++answered;
            }
            return answered;
        }

        // Makes the upstream leave service by the action, and checks that it gets no new work after that.
        auto expectNoNewWork(const std::string& upstream, std::size_t frozen) -> void
        {
            (void)sendFor(withinSeconds, frozen);
            const auto settled = nowMilliseconds();
            EXPECT_GT(sendFor(std::chrono::milliseconds(1500), frozen), 0U) << "expected others to serve on";
            EXPECT_EQ(askedSince(upstream, settled), 0U)
                << "expected no new work at " << upstream << " after 4 s";
        }

        std::optional<Deployment> m_deployment;
    };

    TEST_F(MembersTest, LeavesOutAFrozenNodeAndNamesItAgainAfterwards)
    {
        start(planOfNodes(4));
        m_deployment->node(1).m_process.signal(SIGSTOP);
        EXPECT_TRUE(waitUntil(withinSeconds, [&] { return allName(*m_deployment, 3, 1); }))
            << "expected the frozen node to be named no more within 4 s";
        m_deployment->node(1).m_process.signal(SIGCONT);
        EXPECT_TRUE(waitUntil(withinSeconds, [&] { return allName(*m_deployment, 4, noNode); }))
            << "expected the node to be named again within 4 s of its return";
    }

    TEST_F(MembersTest, LeavesOutAKilledNodeAndNamesItsNextIncarnation)
    {
        start(planOfNodes(3));
        m_deployment->node(2).m_process.kill();
        EXPECT_TRUE(waitUntil(withinSeconds, [&] { return allName(*m_deployment, 2, 2); }))
            << "expected the killed node to be named no more within 4 s";
        m_deployment->restartNode(2);
        EXPECT_TRUE(waitUntil(withinSeconds, [&] {
            return namedBy(m_deployment->node(0))["entry-2"] == m_deployment->node(2).m_caller;
        })) << "expected the new process to be named within 4 s";
    }

    TEST_F(MembersTest, NamesNoNodeOfADataCentreThatIsOutUntilItIsBack)
    {
        start(planOfNodes(4));
        apply(drainNote("out", "put", "data_centre", "olten"));
        EXPECT_TRUE(waitUntil(withinSeconds, [&] { return allName(*m_deployment, 3, noNode); }));
        EXPECT_FALSE(namedBy(m_deployment->node(1)).contains("entry-1"))
            << "expected the node that is out to name the others";
        EXPECT_EQ(ask(1, "adapter-0@1"), 200) << "expected callers that still come to be served";
        apply(drainNote("back", "withdraw", "data_centre", "olten"));
        EXPECT_TRUE(waitUntil(withinSeconds, [&] { return allName(*m_deployment, 4, noNode); }));
    }

    TEST_F(MembersTest, NamesNoNodeWhoseVmIsOut)
    {
        start(planOfNodes(3));
        apply(drainNote("out", "put", "vm", "entry-2"));
        EXPECT_TRUE(waitUntil(withinSeconds, [&] { return allName(*m_deployment, 2, noNode); }));
    }

    TEST_F(MembersTest, GivesADataCentreThatIsOutNoNewWorkAfterSeconds)
    {
        start(planOfNodes(3));
        EXPECT_GT(sendFor(std::chrono::milliseconds(500)), 0U);
        apply(drainNote("out", "put", "data_centre", "olten"));
        expectNoNewWork("triage-2", noNode);
        apply(drainNote("back", "withdraw", "data_centre", "olten"));
        const auto back = nowMilliseconds();
        EXPECT_TRUE(waitUntil(withinSeconds, [&] {
            (void)sendFor(std::chrono::milliseconds(100));
            return askedSince("triage-2", back) > 0;
        })) << "expected work at triage-2 again within 4 s";
    }

    TEST_F(MembersTest, GivesADataCentreThatIsOutNoNewWorkThoughTheNodeThatTookTheNoteFreezes)
    {
        start(planOfNodes(4));
        apply(drainNote("out", "put", "data_centre", "olten"), 2);
        m_deployment->node(2).m_process.signal(SIGSTOP);
        expectNoNewWork("triage-2", 2);
        m_deployment->node(2).m_process.signal(SIGCONT);
    }

    TEST_F(MembersTest, GivesALeavingUpstreamNoNewWorkAfterSeconds)
    {
        start(planOfNodes(3));
        EXPECT_GT(sendFor(std::chrono::milliseconds(500)), 0U);
        m_deployment->setUpstreamState("triage-1", "leaving");
        expectNoNewWork("triage-1", noNode);
    }

    TEST_F(MembersTest, GivesALeavingUpstreamNoNewWorkThoughThePlatformIsSlow)
    {
        start(planOfNodes(3));
        m_deployment->setPlatformFault({ { "delay_ms", 800 } });
        m_deployment->setUpstreamState("triage-1", "leaving");
        expectNoNewWork("triage-1", noNode);
    }

    TEST_F(MembersTest, GivesALeavingUpstreamNoNewWorkThoughWatchesWentSilent)
    {
        auto plan = planOfNodes(3);
        plan.m_proxyPlatform = true;
        start(std::move(plan));
        m_deployment->platformProxy().silence();
        m_deployment->setUpstreamState("triage-1", "leaving");
        expectNoNewWork("triage-1", noNode);
    }

    TEST_F(MembersTest, GivesALeavingUpstreamNoNewWorkThoughANodeThatWouldTellIsFrozen)
    {
        start(planOfNodes(6));
        m_deployment->node(3).m_process.signal(SIGSTOP);
        m_deployment->setUpstreamState("triage-1", "leaving");
        expectNoNewWork("triage-1", 3);
        m_deployment->node(3).m_process.signal(SIGCONT);
    }

    TEST_F(MembersTest, EndsARunningStreamOfADataCentreThatIsTakenOut)
    {
        auto plan = planOfNodes(3);
        for (auto& upstream : plan.m_upstreams) {
            if (upstream.m_kind == "engine")
                upstream.m_arguments = { "--load-ms", "20", "--token-ms", "50" };
        }
        start(std::move(plan));
        auto whole = std::atomic<int>(0);
        auto callers = std::vector<std::thread>();
        for (auto i = 0; i < 4; ++i) {
            callers.emplace_back([&, i] {
                const auto model = "adapter-" + std::to_string(i) + "@1";
                const auto answer
                    = makeCaller(m_deployment->node(0).m_caller, basicKey)
                          .Post("/v1/completions", completionBody(model, 60, true), "application/json");
                if (answer && answer->body.find("[DONE]") != std::string::npos)
                    ++whole;
            });
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        apply(drainNote("out", "put", "data_centre", "olten"));
        for (auto& caller : callers)
            caller.join();
        EXPECT_EQ(whole, 4) << "expected every stream to come to its end";
    }

} // namespace
} // namespace marigoldladder::harness
