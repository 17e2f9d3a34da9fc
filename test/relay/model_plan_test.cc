#include "relay/model_plan.h"

#include "relay/relay_fixtures.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    // Replays the return of several engines that crashed together and restarted empty.
    class ModelPlanTest : public testing::Test {
    protected:
        ModelPlanTest()
            : m_configuration(configurationWith(enginePool()))
        {
        }

        auto addEmptyEngine(const std::string& name) -> Upstream&
        {
            applyUpstreamRecord(m_table, engineRecord(name), at(-100));
            auto& upstream = *m_table.m_upstreams.at(UpstreamName(name));
            upstream.m_record.m_models.clear();
            ordersOf(m_orderTracker, upstream).m_reportedAt = at(0);
            return upstream;
        }

        // Returns the names of the engines that are ordered to load a model now, one after the other.
        auto ordered() -> std::string
        {
            auto input = PlanInput();
            input.m_table = &m_table;
            input.m_configuration = &m_configuration;
            input.m_orderTracker = &m_orderTracker;
            input.m_now = at(1);
            auto view = makePlanView(input);
            auto names = std::string();
            for (const auto& order : planModelLoads(view, m_configuration)) {
                EXPECT_EQ(order.m_model, "model");
                EXPECT_TRUE(order.m_adapter.empty()) << order.m_adapter;
                names += (names.empty() ? "" : " ") + order.m_upstream->m_record.m_name.value();
            }
            return names;
        }

        RoutingConfiguration m_configuration;
        UpstreamTable m_table;
        EngineOrderTracker m_orderTracker;
    };

    TEST_F(ModelPlanTest, LoadsFromTheWeightStoreOneAfterTheOther)
    {
        addEmptyEngine("a");
        addEmptyEngine("b");
        EXPECT_EQ(ordered(), "a") << "the store loads one model at full speed";
    }

    // Guards against empty engines that wait for nothing: the time limit of a load is three times its usual
    // duration, and it used to be waited for although the engine listed its model long before.
    TEST_F(ModelPlanTest, ALoadEndsWhenTheEngineListsItsModel)
    {
        auto& first = addEmptyEngine("a");
        addEmptyEngine("b");
        ordersOf(m_orderTracker, first).m_modelLoadingUntil = at(9);
        EXPECT_EQ(ordered(), "") << "the first engine is still loading";
        first.m_record.m_models = { "model" };
        EXPECT_EQ(ordered(), "b");
    }

    TEST_F(ModelPlanTest, EnginesWithACopyOfTheirOwnLoadAtOnce)
    {
        for (const auto* name : { "a", "b", "c" })
            addEmptyEngine(name).m_cachedModels = { "model" };
        addEmptyEngine("d");
        addEmptyEngine("e");
        EXPECT_EQ(ordered(), "a b c d") << "only the last two need the weight store, one at a time";
    }

    TEST_F(ModelPlanTest, ALoadFromTheEnginesOwnDiskDelaysNoLoadFromTheWeightStore)
    {
        auto& caching = addEmptyEngine("a");
        caching.m_cachedModels = { "model" };
        ordersOf(m_orderTracker, caching).m_modelLoadingUntil = at(9);
        addEmptyEngine("b");
        EXPECT_EQ(ordered(), "b");
    }

    TEST_F(ModelPlanTest, AnotherModelOnTheEnginesDiskDoesNotHelp)
    {
        addEmptyEngine("a").m_cachedModels = { "other" };
        addEmptyEngine("b").m_cachedModels = { "other" };
        EXPECT_EQ(ordered(), "a");
    }

} // namespace
} // namespace marigoldladder::relay
