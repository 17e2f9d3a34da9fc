// The allowance of an organisation over a whole fleet of processes, counted by the upstreams' own records.
#include "harness/deployment.h"

#include <gtest/gtest.h>

#include <atomic>
#include <random>
#include <thread>

namespace marigoldladder::harness {
namespace {

    using Seconds = std::chrono::duration<double>;

    constexpr auto organisationKey = "lecksuche-1.secret";
    constexpr auto route = "/services/ledger/read";

    // An organisation whose calls cost `tokensPerCall`, so that calls served tell the tokens spent.
    struct Allowed {
        double m_tokensPerSecond = 0;
        double m_burstTokens = 0;
        double m_tokensPerCall = 0;
    };

    auto organisationChange(const Allowed& allowed) -> nlohmann::json
    {
        return { { "put", "organisation" }, { "name", "lecksuche" },
            { "tokens_per_second", allowed.m_tokensPerSecond }, { "burst_tokens", allowed.m_burstTokens } };
    }

    auto noteFor(const Allowed& allowed) -> nlohmann::json
    {
        auto note = basicNote(1);
        note["changes"].push_back(organisationChange(allowed));
        note["changes"].push_back({ { "put", "key" }, { "id", "lecksuche-1" },
            { "organisation", "lecksuche" }, { "secret", "secret" } });
        note["changes"].push_back({ { "put", "route" }, { "name", "ledger" }, { "pool", "booking-app" },
            { "idempotent", true }, { "cost_tokens", allowed.m_tokensPerCall } });
        return note;
    }

    struct LoadResult {
        int m_served = 0;
        int m_refused = 0; // For lack of allowance.
        int m_other = 0;
    };

    // Calls at a steady rate for a while, most of them at one node.
    struct Load {
        double m_callsPerSecond = 0;
        double m_seconds = 0;
        std::size_t m_busyNode = 0;
        double m_busyPart = 0.8;
    };

    class AllowanceSystemTest : public ::testing::Test {
    protected:
        AllowanceSystemTest()
            : m_deployment(plan())
        {
            EXPECT_TRUE(m_deployment.waitUntilServing())
                << "expected every node to serve within its start time";
        }

        static auto plan() -> DeploymentPlan
        {
            const auto limits = nlohmann::json { { "limits",
                { { "request_deadline_ms", 2000 }, { "max_connections", 64 } } } };
            auto plan = DeploymentPlan();
            plan.m_nodes = { { "bern-a-1", "bern-a", limits }, { "bern-a-2", "bern-a", limits },
                { "olten-1", "olten", limits }, { "olten-2", "olten", limits } };
            plan.m_upstreams = { { "booking-1", "booking-app", "olten", "service", { "--work-ms", "1" } } };
            return plan;
        }

        // Puts the organisation in force and lets its buckets fill over the whole fleet.
        auto prepare(const Allowed& allowed) -> void
        {
            m_allowed = allowed;
            for (auto node = std::size_t { 0 }; node < m_deployment.nodeCount(); ++node)
                m_callers.push_back(m_deployment.node(node).m_caller);
            EXPECT_EQ(m_deployment.applyNote(0, noteFor(allowed))->status, 200);
            for (auto node = std::size_t { 0 }; node < m_deployment.nodeCount(); ++node) {
                EXPECT_TRUE(waitUntil(std::chrono::seconds(10), [&] { return call(node) == 200; }))
                    << "expected node " << node << " to serve the organisation";
            }
            std::this_thread::sleep_for(Seconds(allowed.m_burstTokens / allowed.m_tokensPerSecond));
        }

        auto call(std::size_t node) -> int
        {
            auto caller = makeCaller(m_callers.at(node), organisationKey);
            const auto answer = caller.Get(route);
            return answer ? answer->status : 0;
        }

        auto run(const Load& load) -> LoadResult
        {
            auto served = std::atomic<int>(0);
            auto refused = std::atomic<int>(0);
            auto other = std::atomic<int>(0);
            auto callers = std::vector<std::thread>();
            auto random = std::mt19937(m_seed);
            const auto begun = std::chrono::steady_clock::now();
            const auto calls = static_cast<int>(load.m_callsPerSecond * load.m_seconds);
            for (auto number = 0; number < calls; ++number) {
                std::this_thread::sleep_until(begun + Seconds(number / load.m_callsPerSecond));
                const auto busy = std::generate_canonical<double, 32>(random) < load.m_busyPart;
                const auto node = busy ? load.m_busyNode : random() % m_callers.size();
                callers.emplace_back([&, node] {
                    const auto status = call(node);
                    ++(status == 200 ? served : status == 429 ? refused : other);
                });
            }
            for (auto& caller : callers)
                caller.join();
            return { served, refused, other };
        }

        // The calls that the service itself counted.
        auto countedCalls() -> double
        {
            return static_cast<double>(m_deployment.upstreamRecords("booking-1")["requests"].size());
        }

        // Runs far more load than allowed and checks that the service saw no more than burst and rate, with
        // `strike` called in the middle.
        auto expectWithinAllowance(const std::function<void()>& strike, double seconds = 3) -> void
        {
            constexpr auto overload = 4.0;
            constexpr auto burstsEachSecond = 1.25; // So that the burst is spent when the fault strikes.
            const auto before = countedCalls();
            const auto begun = std::chrono::steady_clock::now();
            auto load = Load();
            load.m_callsPerSecond
                = (overload * m_allowed.m_tokensPerSecond + burstsEachSecond * m_allowed.m_burstTokens)
                / m_allowed.m_tokensPerCall;
            load.m_seconds = seconds;
            auto result = LoadResult();
            auto loader = std::thread([&] { result = run(load); });
            std::this_thread::sleep_for(std::chrono::seconds(1));
            strike(); // On this thread, since processes end with the thread that started them.
            loader.join();
            const auto elapsed = Seconds(std::chrono::steady_clock::now() - begun).count();
            const auto spent = (countedCalls() - before) * m_allowed.m_tokensPerCall;
            const auto bound = m_allowed.m_burstTokens + m_allowed.m_tokensPerSecond * elapsed;
            EXPECT_LE(spent, bound) << "expected at most burst + rate * " << elapsed << " s";
            EXPECT_GT(result.m_refused, 0) << "expected the load to exceed the allowance";
        }

        Deployment m_deployment;
        Allowed m_allowed;
        std::vector<Address> m_callers; // As they were before any fault.
        unsigned m_seed = 20'261;
    };

    constexpr auto usual = Allowed { 1000, 500, 50 };

    TEST_F(AllowanceSystemTest, SkewedCallersWithinTheRateAreNearlyAllServed)
    {
        constexpr auto refusedPart = 0.05; // A tenth of what a static part for each node refuses.
        prepare(usual);
        const auto result = run({ 0.7 * usual.m_tokensPerSecond / usual.m_tokensPerCall, 8, 3 });
        const auto all = result.m_served + result.m_refused;
        EXPECT_EQ(result.m_other, 0);
        EXPECT_LE(result.m_refused, refusedPart * all) << "served " << result.m_served;
    }

    TEST_F(AllowanceSystemTest, SeveralTimesTheRateGetsNoMoreThanBurstAndRate)
    {
        prepare(usual);
        expectWithinAllowance([] {});
    }

    TEST_F(AllowanceSystemTest, NodesKilledAndStartedAgainBringNoSecondBurst)
    {
        prepare({ 400, 4000, 100 });
        expectWithinAllowance(
            [&] {
                for (const auto node : { 1U, 2U, 3U })
                    m_deployment.restartNode(node);
            },
            6);
    }

    TEST_F(AllowanceSystemTest, ANodeFrozenAndResumedBringsNoSecondBurst)
    {
        prepare(usual);
        expectWithinAllowance([&] {
            m_deployment.node(2).m_process.signal(SIGSTOP);
            std::this_thread::sleep_for(std::chrono::seconds(1));
            m_deployment.node(2).m_process.signal(SIGCONT);
        });
    }

    TEST_F(AllowanceSystemTest, APlatformOutageFreezesThePartsAndTokensStillMove)
    {
        constexpr auto refusedPart = 0.05;
        prepare(usual);
        m_deployment.setPlatformFault({ { "mode", "hang" } });
        const auto result = run({ 0.7 * usual.m_tokensPerSecond / usual.m_tokensPerCall, 4, 0 });
        EXPECT_LE(result.m_refused, refusedPart * (result.m_served + result.m_refused))
            << "expected tokens to move between nodes without the platform";
        m_deployment.setPlatformFault({ { "mode", "down" } });
        expectWithinAllowance([&] { m_deployment.setPlatformFault({ { "mode", "up" } }); });
    }

    TEST_F(AllowanceSystemTest, ANodeThatLeavesHandsItsPartOver)
    {
        prepare(usual);
        EXPECT_EQ(m_deployment.node(0).m_process.terminate(20'000), 0);
        auto platform = makeCaller(m_deployment.platform(), "");
        const auto object = platform.Get("/api/v1/allowanceshares/fleet");
        ASSERT_TRUE(object);
        const auto slots = nlohmann::json::parse(object->body)["spec"]["slots"].dump();
        EXPECT_EQ(slots.find("bern-a-1"), std::string::npos)
            << "expected no slot left at the node: " << slots;
    }

    TEST_F(AllowanceSystemTest, ADataCentreOutAndBackBringsNoSecondBurst)
    {
        prepare(usual);
        const auto drain = [&](const std::string& action) {
            const auto note = nlohmann::json { { "note_id", "olten-" + action },
                { "changes", { { { action, "drain" }, { "scope", "data_centre" }, { "name", "olten" } } } } };
            EXPECT_EQ(m_deployment.applyNote(0, note)->status, 200);
        };
        expectWithinAllowance([&] {
            drain("put");
            std::this_thread::sleep_for(std::chrono::seconds(1));
            drain("withdraw");
        });
    }

    TEST_F(AllowanceSystemTest, ALoweredRateHoldsWithinSecondsOfItsNote)
    {
        prepare(usual);
        const auto lowered = Allowed { 100, 50, usual.m_tokensPerCall };
        const auto note
            = nlohmann::json { { "note_id", "lowered" }, { "changes", { organisationChange(lowered) } } };
        EXPECT_EQ(m_deployment.applyNote(0, note)->status, 200);
        std::this_thread::sleep_for(std::chrono::seconds(4));
        m_allowed = lowered;
        expectWithinAllowance([] {});
    }

} // namespace
} // namespace marigoldladder::harness
