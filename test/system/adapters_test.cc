// Adapters on engines that restart, fail to load, or lose their replies, over real processes.
#include "harness/completion_traffic.h"
#include "harness/deployment.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <iostream>

namespace marigoldladder::harness {
namespace {

    using namespace std::chrono_literals;

    constexpr auto adapters = std::size_t { 24 }; // More than an engine has slots.

    auto planWith(const nlohmann::json& weightStore) -> DeploymentPlan
    {
        auto plan = smallPlan();
        for (auto& node : plan.m_nodes)
            node.m_extraSettings = { { "weight_store", weightStore } };
        return plan;
    }

    // Two nodes and two engines with traffic for more adapters than one engine holds.
    class AdapterFaultTest : public ::testing::Test {
    protected:
        explicit AdapterFaultTest(double loadsPerSecond = 2000, std::size_t maxInFlight = 64)
            : m_deployment(
                planWith({ { "loads_per_second", loadsPerSecond }, { "max_in_flight", maxInFlight } }))
        {
            EXPECT_TRUE(m_deployment.waitUntilServing());
            EXPECT_EQ(m_deployment.applyNote(0, basicNote(adapters))->status, 200);
            EXPECT_TRUE(m_deployment.waitUntilInForce(1, 4s));
            EXPECT_TRUE(waitUntil(10s, [&] { return ask() == 200; })) << "expected the engines to be owned";
        }

        auto ask() -> int
        {
            auto caller = makeCaller(m_deployment.node(1).m_caller, basicKey);
            const auto answer
                = caller.Post("/v1/completions", completionBody("adapter-0@1", 2, false), "application/json");
            return answer ? answer->status : 0;
        }

        auto traffic() -> TrafficPlan
        {
            auto plan = TrafficPlan();
            for (const auto node : { 0, 0, 1, 1 })
                plan.m_nodes.push_back(m_deployment.node(static_cast<std::size_t>(node)).m_caller);
            plan.m_adapters = adapters;
            std::cout << "seed " << plan.m_seed << "\n";
            return plan;
        }

        auto setFault(const std::string& engine, const nlohmann::json& fault) -> void
        {
            const auto address = m_deployment.upstreamAddress(engine);
            httplib::Client(address.m_host, address.m_port)
                .Post("/adapter-fault", fault.dump(), "application/json");
        }

        auto expectNoHarm(const CompletionTraffic& traffic) -> void
        {
            for (const auto* engine : { "triage-1", "triage-2" })
                EXPECT_EQ(m_deployment.upstreamRecords(engine).value("evicted_in_use", -1), 0) << engine;
            EXPECT_EQ(traffic.counts().m_wrong, 0U);
            EXPECT_GT(traffic.counts().m_served, 0U);
        }

        Deployment m_deployment;
    };

    TEST_F(AdapterFaultTest, ServesOnAfterAnEngineRestartedEmpty)
    {
        auto callers = CompletionTraffic(traffic());
        std::this_thread::sleep_for(500ms);
        m_deployment.restartUpstream("triage-1");
        EXPECT_TRUE(waitUntil(10s, [&] {
            return !m_deployment.upstreamRecords("triage-1")["adapters"].empty();
        })) << "expected adapters to be loaded again";
        std::this_thread::sleep_for(500ms);
        callers.stop();
        expectNoHarm(callers);
    }

    TEST_F(AdapterFaultTest, EvictsNothingInUseWhenRepliesToOrdersAreLost)
    {
        auto callers = CompletionTraffic(traffic());
        for (auto i = 0; i < 10; ++i) {
            setFault("triage-1", { { "lose_replies", 3 } });
            setFault("triage-2", { { "lose_replies", 3 } });
            std::this_thread::sleep_for(200ms);
        }
        callers.stop();
        expectNoHarm(callers);
    }

    TEST_F(AdapterFaultTest, TriesAnotherReplicaWhenLoadsFail)
    {
        setFault("triage-1", { { "fail_loads", 1000 } });
        auto callers = CompletionTraffic(traffic());
        std::this_thread::sleep_for(2s);
        callers.stop();
        expectNoHarm(callers);
        EXPECT_EQ(callers.counts().m_refused + callers.counts().m_lost, 0U)
            << "expected the other engine to serve all\n"
            << callers.badAnswers();
    }

    TEST_F(AdapterFaultTest, FinishesTheRequestsOfAWithdrawnVersion)
    {
        auto caller = makeCaller(m_deployment.node(1).m_caller, basicKey);
        auto status = 0;
        auto longRequest = std::thread([&] {
            const auto answer = caller.Post(
                "/v1/completions", completionBody("adapter-0@1", 800, false), "application/json");
            status = answer ? answer->status : 0;
        });
        std::this_thread::sleep_for(200ms);
        const auto note = nlohmann::json { { "note_id", "withdraw" },
            { "changes", { { { "withdraw", "adapter" }, { "name", "adapter-0" }, { "version", "1" } } } } };
        EXPECT_EQ(m_deployment.applyNote(0, note)->status, 200);
        EXPECT_TRUE(m_deployment.waitUntilInForce(2, 4s));
        auto callers = CompletionTraffic(traffic());
        longRequest.join();
        callers.stop();
        EXPECT_EQ(status, 200);
        expectNoHarm(callers);
    }

    class LoadBudgetFleetTest : public AdapterFaultTest {
    protected:
        LoadBudgetFleetTest()
            : AdapterFaultTest(4, 1)
        {
        }

        // Loads of all engines in the order of their beginnings.
        auto loads() -> std::vector<nlohmann::json>
        {
            auto all = std::vector<nlohmann::json>();
            for (const auto* engine : { "triage-1", "triage-2" }) {
                const auto orders = m_deployment.upstreamRecords(engine)["orders"];
                for (const auto& order : orders) {
                    if (order["order"] == "load")
                        all.push_back(order);
                }
            }
            std::sort(all.begin(), all.end(),
                [](const auto& left, const auto& right) { return left["begun_ms"] < right["begun_ms"]; });
            return all;
        }
    };

    TEST_F(LoadBudgetFleetTest, KeepsToTheStoresRateAndLoadsInFlightOverTheFleet)
    {
        auto callers = CompletionTraffic(traffic());
        std::this_thread::sleep_for(5s);
        callers.stop();
        const auto all = loads();
        ASSERT_GT(all.size(), 4U);
        const auto milliseconds
            = all.back()["begun_ms"].get<std::int64_t>() - all.front()["begun_ms"].get<std::int64_t>();
        EXPECT_LE(static_cast<double>(all.size()), 2 + 4 * static_cast<double>(milliseconds) / 1000)
            << "expected at most 4 loads a second, and one more for each node that begins";
        for (auto i = std::size_t { 1 }; i < all.size(); ++i)
            EXPECT_GE(all[i]["begun_ms"], all[i - 1]["ended_ms"]) << "expected one load at a time";
        expectNoHarm(callers);
    }

} // namespace
} // namespace marigoldladder::harness
