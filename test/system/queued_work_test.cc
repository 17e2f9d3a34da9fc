// Calls that wait for an adapter at an upstream whose data centre is taken out meanwhile.
#include "fake_server.h"
#include "harness/deployment.h"

#include <gtest/gtest.h>
#include <thread>

namespace marigoldladder::harness {
namespace {

    using namespace std::chrono_literals;

    constexpr auto loadMilliseconds = 5000; // Longer than the seconds allowed.
    constexpr auto allowedMilliseconds = std::int64_t { 4000 };
    constexpr auto adapters = std::size_t { 4 };

    auto slowLoadingPlan() -> DeploymentPlan
    {
        auto plan = smallPlan();
        for (auto& upstream : plan.m_upstreams) {
            if (upstream.m_kind == "engine")
                upstream.m_arguments = { "--load-ms", std::to_string(loadMilliseconds), "--token-ms", "2" };
        }
        return plan;
    }

    TEST(QueuedWorkTest, IsServedElsewhereOnceItsDataCentreIsOut)
    {
        auto deployment = Deployment(slowLoadingPlan());
        ASSERT_TRUE(deployment.waitUntilServing());
        ASSERT_EQ(deployment.applyNote(0, basicNote(adapters))->status, 200);
        ASSERT_TRUE(deployment.waitUntilInForce(1, 4s));
        auto statuses = std::array<int, adapters> {};
        auto bodies = std::array<std::string, adapters> {};
        auto callers = std::vector<std::thread>();
        for (auto i = std::size_t { 0 }; i < adapters; ++i)
            callers.emplace_back([&deployment, &statuses, &bodies, i] {
                auto caller = makeCaller(deployment.node(0).m_caller, basicKey);
                caller.set_read_timeout(60s);
                const auto body = completionBody("adapter-" + std::to_string(i) + "@1", 64, false);
                const auto answer = caller.Post("/v1/completions", body, "application/json");
                statuses.at(i) = answer ? answer->status : 0;
                bodies.at(i) = answer ? answer->body : httplib::to_string(answer.error());
            });
        std::this_thread::sleep_for(500ms);
        const auto drain
            = nlohmann::json { { "put", "drain" }, { "scope", "data_centre" }, { "name", "olten" } };
        ASSERT_EQ(deployment.applyNote(0, { { "note_id", "out" }, { "changes", { drain } } })->status, 200);
        const auto outAtMs = fakes::wallClockMilliseconds();
        for (auto& caller : callers)
            caller.join();
        for (auto i = std::size_t { 0 }; i < adapters; ++i)
            EXPECT_EQ(statuses.at(i), 200)
                << "expected every queued call to be served by the other engine: " << bodies.at(i);
        for (const auto& request : deployment.upstreamRecords("triage-2")["requests"])
            EXPECT_LE(request["at_ms"].get<std::int64_t>(), outAtMs + allowedMilliseconds)
                << "expected no new work in the data centre that is out";
    }

} // namespace
} // namespace marigoldladder::harness
