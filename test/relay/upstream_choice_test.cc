#include "relay/upstream_choice.h"

#include "relay/relay_fixtures.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    class UpstreamChoiceTest : public testing::Test {
    protected:
        UpstreamChoiceTest()
            : m_configuration(configurationWith(enginePool()))
        {
            m_needs.m_pool = PoolName("engines");
            m_needs.m_model = "model";
            m_needs.m_adapter = "model/a1";
            m_needs.m_dataCentre = DataCentreName("here");
        }

        auto add(const UpstreamRecord& record) -> Upstream&
        {
            applyUpstreamRecord(m_table, record, at(0));
            return *m_table.m_upstreams.at(record.m_name);
        }

        auto choose(MonotonicTime now = at(1)) -> UpstreamChoice
        {
            auto context = ChoiceContext();
            context.m_configuration = &m_configuration;
            context.m_regions = &m_regions;
            context.m_now = now;
            context.m_smallFleet = m_smallFleet;
            context.m_jitterSeed = m_jitterSeed;
            return chooseUpstream(m_table, m_needs, context);
        }

        RoutingConfiguration m_configuration;
        std::map<DataCentreName, std::string> m_regions;
        UpstreamTable m_table;
        UpstreamNeeds m_needs;
        bool m_smallFleet = true;
        std::uint64_t m_jitterSeed = 0;
    };

    TEST_F(UpstreamChoiceTest, ChoosesTheEngineThatHasTheAdapter)
    {
        add(engineRecord("without"));
        add(engineRecord("with", { "a1" }));
        const auto choice = choose();
        ASSERT_EQ(choice.m_outcome, ChoiceOutcome::Chosen);
        EXPECT_EQ(choice.m_upstream->m_record.m_name, UpstreamName("with"));
    }

    TEST_F(UpstreamChoiceTest, DoesNotChooseAnUpstreamThatWantsNoRequestsForNow)
    {
        add(engineRecord("paused", { "a1" })).m_pausedUntil = at(3);
        add(engineRecord("with", { "a1" }));
        EXPECT_EQ(choose(at(2)).m_upstream->m_record.m_name, UpstreamName("with"));
        m_table.m_upstreams.erase(UpstreamName("with"));
        EXPECT_EQ(choose(at(3)).m_outcome, ChoiceOutcome::Chosen) << "when the time is over";
    }

    TEST_F(UpstreamChoiceTest, ReportsWhenTheFirstOfAllPausedUpstreamsWantsRequests)
    {
        add(engineRecord("first", { "a1" })).m_pausedUntil = at(3);
        add(engineRecord("second")).m_pausedUntil = at(4);
        const auto choice = choose(at(2));
        EXPECT_EQ(choice.m_outcome, ChoiceOutcome::Paused);
        EXPECT_EQ(choice.m_retryAt, at(3));
        add(engineRecord("without"));
        EXPECT_EQ(choose(at(2)).m_outcome, ChoiceOutcome::NotLoaded)
            << "expected that it can load the adapter";
    }

    TEST_F(UpstreamChoiceTest, ReportsWhenALoadInProgressEnds)
    {
        auto& engine = add(engineRecord("loading"));
        recordLoadOrder(engine, { "model/a1", 1 }, at(1.25), at(1));
        const auto choice = choose();
        EXPECT_EQ(choice.m_outcome, ChoiceOutcome::Loading);
        EXPECT_EQ(choice.m_retryAt, at(1.25));
        EXPECT_EQ(choose(at(1.3)).m_outcome, ChoiceOutcome::Chosen);
    }

    TEST_F(UpstreamChoiceTest, SkipsEnginesThatLeaveOrAreInAnEvacuatedDataCentre)
    {
        auto leaving = engineRecord("leaving", { "a1" });
        leaving.m_leaving = true;
        add(leaving);
        auto out = engineRecord("out", { "a1" });
        out.m_dataCentre = DataCentreName("elsewhere");
        add(out);
        m_table.m_evacuated[DataCentreName("elsewhere")] = true;
        EXPECT_EQ(choose().m_outcome, ChoiceOutcome::NoUpstream);
    }

    TEST_F(UpstreamChoiceTest, StaysInTheRegionsOfRouteAndOrganisation)
    {
        add(engineRecord("near", { "a1" }));
        m_regions = { { DataCentreName("here"), "north" } };
        m_needs.m_routeRegions = { "north", "south" };
        EXPECT_EQ(choose().m_outcome, ChoiceOutcome::Chosen);
        m_needs.m_organisationRegions = { "south" };
        EXPECT_EQ(choose().m_outcome, ChoiceOutcome::NoUpstream)
            << "the regions of route and organisation both apply";
    }

    TEST_F(UpstreamChoiceTest, CountsRequestsOfOtherNodes)
    {
        auto& engine = add(engineRecord("busy", { "a1" }));
        engine.m_inFlight = 3;
        engine.m_peersInFlight = 5;
        EXPECT_EQ(choose().m_outcome, ChoiceOutcome::Full) << "8 of 8 slots are in use";
        engine.m_peersInFlight = 4;
        EXPECT_EQ(choose().m_outcome, ChoiceOutcome::Chosen);
    }

    TEST_F(UpstreamChoiceTest, StaysWithinAnEnginesMemory)
    {
        auto& engine = add(engineRecord("full", { "a1" }));
        engine.m_inFlight = 1;
        engine.m_tokensInFlight = 9'000;
        m_needs.m_tokens = 4'000;
        EXPECT_EQ(choose().m_outcome, ChoiceOutcome::Full);
    }

    TEST_F(UpstreamChoiceTest, AvoidsAnEngineThatFailedUnlessItIsTheOnlyOne)
    {
        auto& failing = add(engineRecord("failing", { "a1" }));
        failing.m_health.m_avoidUntil = at(2);
        EXPECT_EQ(choose().m_outcome, ChoiceOutcome::Chosen);
        auto& busy = add(engineRecord("busy", { "a1" }));
        busy.m_inFlight = 7;
        EXPECT_EQ(choose().m_upstream->m_record.m_name, UpstreamName("busy"));
    }

    TEST_F(UpstreamChoiceTest, RequiresAnAnnouncedVersionAfterTheGracePeriod)
    {
        add(engineRecord("old", { "a1" }));
        announce(m_table, { "model/a1", 2 }, at(0));
        EXPECT_EQ(choose(at(1)).m_outcome, ChoiceOutcome::Chosen);
        EXPECT_EQ(choose(at(4)).m_outcome, ChoiceOutcome::NotLoaded)
            << "version 1 may be used for at most 5 s after the announcement";
    }

    TEST_F(UpstreamChoiceTest, ALaterVersionDoesNotLiftTheBoundOfTheOneBefore)
    {
        add(engineRecord("old", { "a1" }));
        announce(m_table, { "model/a1", 2 }, at(0));
        announce(m_table, { "model/a1", 3 }, at(3.5));
        EXPECT_EQ(choose(at(4)).m_outcome, ChoiceOutcome::NotLoaded)
            << "version 1 may be used for at most 5 s after version 2 was announced";
    }

    TEST_F(UpstreamChoiceTest, PrefersTheNewestVersionAsSoonAsAnEngineServesIt)
    {
        add(engineRecord("old", { "a1" }));
        auto& busy = add(engineRecord("new"));
        busy.m_inFlight = 6;
        recordLoadOrder(busy, { "model/a1", 2 }, at(0.5), at(0.2));
        announce(m_table, { "model/a1", 2 }, at(0));
        EXPECT_EQ(choose(at(1)).m_upstream->m_record.m_name, UpstreamName("new"));
    }

    TEST_F(UpstreamChoiceTest, AllNodesTogetherKeepToAColdEnginesRate)
    {
        auto cold = engineRecord("cold", { "a1" });
        cold.m_coldLeft = Milliseconds(3'000);
        auto& engine = add(cold);
        constexpr auto nodes = std::size_t { 8 };
        const auto pool = enginePool();
        auto sent = 0;
        for (auto step = 0; step < 100; ++step) {
            if (acquireColdAllowance(engine, pool, nodes, at(step * 0.01)))
                ++sent;
        }
        EXPECT_LE(sent * nodes, 16 + nodes) << "more than 16 requests a second plus one per node";
        EXPECT_GE(sent, 2);
    }

    TEST_F(UpstreamChoiceTest, AnAdapterAtACrashedEngineHasToBeLoadedElsewhere)
    {
        auto& crashed = add(engineRecord("crashed", { "a1" }));
        crashed.m_reachability.m_refusedAt = at(0.9);
        const auto choice = choose();
        EXPECT_EQ(choice.m_outcome, ChoiceOutcome::NotLoaded);
        EXPECT_EQ(choice.m_retryAt, at(1.7)) << "the engine may accept connections again by then";
    }

    TEST_F(UpstreamChoiceTest, AnEnginesNextRunDoesNotCountAsTriedWhereverItIsInMemory)
    {
        auto record = engineRecord("restarted", { "a1" });
        add(record);
        add(engineRecord("other", { "a1" })).m_peersInFlight = 4;
        m_needs.m_tried.push_back(m_table.m_upstreams.at(record.m_name));
        removeUpstream(m_table, record.m_name, at(0.1));
        record.m_startedAt = 2;
        add(record);
        EXPECT_EQ(choose().m_upstream->m_record.m_name, record.m_name);
    }

    // Guards against overloading one engine when many nodes choose by the same figures, which are a second
    // old.
    TEST_F(UpstreamChoiceTest, NodesOfALargeFleetWithTheSameViewChooseDifferentEngines)
    {
        for (auto engine = 0; engine < 8; ++engine) {
            auto record = engineRecord("engine-" + std::to_string(engine), { "a1" });
            record.m_slots = 48;
            add(record).m_peersInFlight = engine == 0 ? 2 : 3;
        }
        m_smallFleet = false;
        auto chosen = std::map<UpstreamName, int>();
        constexpr auto nodes = 60;
        for (auto node = 0; node < nodes; ++node) {
            m_jitterSeed = static_cast<std::uint64_t>(node);
            ++chosen[choose().m_upstream->m_record.m_name];
        }
        for (const auto& [name, count] : chosen)
            EXPECT_LE(count, nodes * 3 / 4) << name.value() << " has only one request fewer than the others";
    }

} // namespace
} // namespace marigoldladder::relay
