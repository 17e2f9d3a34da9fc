// Owners that are paused, killed or stopped, while callers go on: no adapter in use is evicted, and no
// answer comes from another adapter.
#include "harness/completion_traffic.h"
#include "harness/deployment.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <iostream>

namespace marigoldladder::harness {
namespace {

    using namespace std::chrono_literals;

    constexpr auto adapters = std::size_t { 24 }; // More than an engine has slots.
    constexpr auto pause = 9s; // Longer than a lease and its margin.

    auto planWith(bool checksFencing) -> DeploymentPlan
    {
        const auto settings = nlohmann::json::parse(
            R"({"weight_store":{"loads_per_second":2000,"max_in_flight":64},"limits":{"request_deadline_ms":2000}})");
        auto arguments = std::vector<std::string> { "--load-ms", "5", "--token-ms", "4" };
        if (checksFencing)
            arguments.emplace_back("--check-fencing");
        return {
            { { "bern-a-1", "bern-a", settings }, { "olten-1", "olten", settings } },
            { { "triage-1", "triage-models", "bern-a", "engine", arguments, checksFencing } },
        };
    }

    class OwnershipFaultTest : public ::testing::TestWithParam<bool> {
    protected:
        OwnershipFaultTest()
            : m_deployment(planWith(GetParam()))
        {
            EXPECT_TRUE(m_deployment.waitUntilServing());
            EXPECT_EQ(m_deployment.applyNote(0, basicNote(adapters))->status, 200);
            EXPECT_TRUE(m_deployment.waitUntilInForce(1, 4s));
            EXPECT_TRUE(waitUntil(10s, [&] { return ask(0, 0) == 200 && ownerIndex() == 0; }))
                << "expected the engine to be owned by the node of its data centre";
        }

        auto ask(std::size_t node, std::size_t adapter) -> int
        {
            auto caller = makeCaller(m_deployment.node(node).m_caller, basicKey);
            const auto model = "adapter-" + std::to_string(adapter) + "@1";
            const auto answer
                = caller.Post("/v1/completions", completionBody(model, 2, false), "application/json");
            return answer ? answer->status : 0;
        }

        auto record() -> nlohmann::json
        {
            const auto& platform = m_deployment.platform();
            const auto answer
                = httplib::Client(platform.m_host, platform.m_port).Get("/api/v1/ownerships/bern-a");
            return nlohmann::json::parse(answer->body)["spec"]["upstreams"]["triage-1"];
        }

        auto ownerIndex() -> std::size_t { return record()["owner"]["vm"] == "bern-a-1" ? 0 : 1; }

        auto evictedInUse() -> int
        {
            return m_deployment.upstreamRecords("triage-1").value("evicted_in_use", -1);
        }

        auto evictions() -> std::size_t
        {
            const auto orders = m_deployment.upstreamRecords("triage-1")["orders"];
            return static_cast<std::size_t>(std::count_if(
                orders.begin(), orders.end(), [](const auto& order) { return order["order"] == "evict"; }));
        }

        auto trafficAt(const std::vector<std::size_t>& nodes) -> TrafficPlan
        {
            auto plan = TrafficPlan();
            for (const auto node : nodes)
                plan.m_nodes.insert(plan.m_nodes.end(), 3, m_deployment.node(node).m_caller);
            plan.m_adapters = adapters;
            std::cout << "seed " << plan.m_seed << "\n";
            return plan;
        }

        Deployment m_deployment;
    };

    TEST_P(OwnershipFaultTest, APausedOwnerThatWakesLateDoesNoHarm)
    {
        auto atBoth = CompletionTraffic(trafficAt({ 0, 1 }));
        std::this_thread::sleep_for(1s);
        EXPECT_GT(evictions(), 0U) << "expected the owner to evict before it is paused";
        m_deployment.node(0).m_process.signal(SIGSTOP);
        EXPECT_TRUE(waitUntil(pause + 2s, [&] { return ownerIndex() == 1; })) << "expected a takeover";
        const auto served = atBoth.counts().m_served.load();
        EXPECT_TRUE(waitUntil(4s, [&] { return atBoth.counts().m_served > served + 20; }))
            << "expected the new owner to serve what is loaded";
        m_deployment.node(0).m_process.signal(SIGCONT);
        std::this_thread::sleep_for(4s);
        atBoth.stop();
        EXPECT_EQ(evictedInUse(), 0);
        EXPECT_EQ(atBoth.counts().m_wrong, 0U);
    }

    TEST_P(OwnershipFaultTest, AKilledOwnersUpstreamIsServedAndEvictsAgainOnceItsVmIsGone)
    {
        auto traffic = CompletionTraffic(trafficAt({ 1 }));
        std::this_thread::sleep_for(500ms);
        m_deployment.node(0).m_process.kill();
        EXPECT_TRUE(waitUntil(pause + 2s, [&] { return ownerIndex() == 1; })) << "expected a takeover";
        const auto before = evictions();
        std::this_thread::sleep_for(3s);
        EXPECT_EQ(evictions(), before) << "expected no eviction while the earlier owner may still run";
        m_deployment.restartNode(0);
        EXPECT_TRUE(waitUntil(12s, [&] { return evictions() > before; }))
            << "expected evictions once a later process of the VM runs";
        traffic.stop();
        EXPECT_EQ(evictedInUse(), 0);
        EXPECT_EQ(traffic.counts().m_wrong, 0U);
    }

    TEST_P(OwnershipFaultTest, AnOwnerThatLeavesHandsOver)
    {
        auto traffic = CompletionTraffic(trafficAt({ 1 }));
        std::this_thread::sleep_for(500ms);
        EXPECT_EQ(m_deployment.node(0).m_process.terminate(15'000), 0);
        EXPECT_TRUE(waitUntil(4s, [&] { return ownerIndex() == 1; })) << "expected no wait for the lease";
        const auto before = evictions();
        EXPECT_TRUE(waitUntil(4s, [&] { return evictions() > before; })) << "expected full service at once";
        traffic.stop();
        EXPECT_EQ(evictedInUse(), 0);
        EXPECT_EQ(traffic.counts().m_wrong + traffic.counts().m_lost, 0U) << traffic.badAnswers();
    }

    TEST_P(OwnershipFaultTest, AnOrphanedUpstreamIsUsedInAnOutageWithoutEvictions)
    {
        for (auto adapter = std::size_t { 0 }; adapter < adapters; ++adapter)
            (void)ask(1, adapter);
        m_deployment.setPlatformFault({ { "mode", "down" } });
        m_deployment.node(0).m_process.kill();
        const auto before = evictions();
        EXPECT_TRUE(waitUntil(pause + 4s, [&] { return ask(1, adapters - 1) == 200; }))
            << "expected an adapter that is loaded to be served";
        EXPECT_EQ(ask(1, 0), 503) << "expected an adapter that is not loaded to be refused";
        EXPECT_EQ(evictions(), before);
    }

    INSTANTIATE_TEST_SUITE_P(Engines, OwnershipFaultTest, ::testing::Values(false, true),
        [](const auto& info) { return info.param ? "ThatCheckFencing" : "ThatIgnoreFencing"; });

} // namespace
} // namespace marigoldladder::harness
