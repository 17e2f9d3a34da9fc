#include "relay/adapter_plan.h"

#include "relay/relay_fixtures.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    auto loadsOf(const AdapterPlan& plan) -> std::vector<AdapterOrder>
    {
        auto loads = std::vector<AdapterOrder>();
        std::copy_if(plan.m_orders.begin(), plan.m_orders.end(), std::back_inserter(loads),
            [](const AdapterOrder& order) { return order.m_kind == AdapterOrderKind::Load; });
        return loads;
    }

    class AdapterPlanTest : public testing::Test {
    protected:
        AdapterPlanTest()
            : m_configuration(configurationWith(enginePool()))
        {
        }

        auto addEngine(const std::string& name, const std::vector<std::string>& adapters = {}) -> Upstream&
        {
            applyUpstreamRecord(m_table, engineRecord(name, adapters), at(-100));
            auto& upstream = *m_table.m_upstreams.at(UpstreamName(name));
            ordersOf(m_orderTracker, upstream).m_reportedAt = at(0);
            return upstream;
        }

        auto wish(const std::string& adapter, double rate, std::size_t waiting = 0, std::size_t inFlight = 0)
            -> void
        {
            m_demands.push_back({ "model/" + adapter, rate, waiting, inFlight });
        }

        auto plan() -> AdapterPlan
        {
            auto input = PlanInput();
            input.m_table = &m_table;
            input.m_configuration = &m_configuration;
            input.m_orderTracker = &m_orderTracker;
            input.m_demands = m_demands;
            input.m_now = at(1);
            return planAdapterOrders(input);
        }

        RoutingConfiguration m_configuration;
        UpstreamTable m_table;
        EngineOrderTracker m_orderTracker;
        std::vector<TotalAdapterDemand> m_demands;
    };

    TEST_F(AdapterPlanTest, LoadsWhatRequestsWaitForFirst)
    {
        addEngine("engine");
        wish("popular", 5, 1);
        wish("awaited", 1, 4);
        const auto planned = plan();
        ASSERT_GE(planned.m_orders.size(), 2U);
        EXPECT_EQ(planned.m_orders[0].m_adapter, "model/awaited");
        EXPECT_EQ(planned.m_orders[1].m_adapter, "model/popular");
    }

    TEST_F(AdapterPlanTest, NeverFillsAnEngineBeyondItsPlaces)
    {
        // 5 places, one of them kept free, 3 taken, one more by a load under way.
        auto& engine = addEngine("engine", { "a1", "a2", "a3" });
        ordersOf(m_orderTracker, engine).m_loading["model/a4"] = at(2);
        wish("a5", 1, 1);
        for (const auto& order : plan().m_orders)
            EXPECT_NE(order.m_kind, AdapterOrderKind::Load) << "ordered " << order.m_adapter;
    }

    TEST_F(AdapterPlanTest, KeepsThePlaceOfAnAdapterThatOnlyRequestsFoundMissing)
    {
        auto& engine = addEngine("engine", { "a1", "a2", "a3", "a4" });
        EXPECT_TRUE(recordAdapterRefusal(engine, "model/a4", at(0.5)));
        wish("a5", 1, 1);
        for (const auto& order : plan().m_orders)
            EXPECT_NE(order.m_kind, AdapterOrderKind::Load) << "ordered " << order.m_adapter;
    }

    TEST_F(AdapterPlanTest, KeepsAPlaceForAnOrderThatGotNoAnswer)
    {
        auto& engine = addEngine("engine", { "a1", "a2", "a3" });
        ordersOf(m_orderTracker, engine).m_unconfirmed["model/a4"] = UnconfirmedOrder { at(10), {} };
        wish("a5", 1, 1);
        for (const auto& order : plan().m_orders)
            EXPECT_NE(order.m_kind, AdapterOrderKind::Load) << "ordered " << order.m_adapter;
    }

    TEST_F(AdapterPlanTest, KeepsAPlaceForAnOrderThatIsNotAnsweredYet)
    {
        // The time that the load was expected to take is over, and its answer still on the way.
        auto& engine = addEngine("engine", { "a1", "a2", "a3" });
        ordersOf(m_orderTracker, engine).m_unansweredLoads.insert("model/a4");
        wish("a5", 1, 1);
        for (const auto& order : plan().m_orders)
            EXPECT_NE(order.m_kind, AdapterOrderKind::Load) << "ordered " << order.m_adapter;
    }

    TEST_F(AdapterPlanTest, MakesRoomByDroppingTheLeastWantedThatIsNotInUse)
    {
        addEngine("engine", { "used", "wanted", "idle", "liked" });
        wish("used", 0.01, 0, 1);
        wish("wanted", 2);
        wish("liked", 1);
        wish("idle", 0.02);
        wish("new", 0.2, 1);
        const auto planned = plan();
        ASSERT_EQ(planned.m_orders.size(), 1U);
        EXPECT_EQ(planned.m_orders[0].m_kind, AdapterOrderKind::Unload);
        EXPECT_EQ(planned.m_orders[0].m_adapter, "model/idle");
    }

    // Seen on a site of 5 places an engine: most engines waited for the requests on what they were to drop,
    // and took no order, while three times as many adapters became idle elsewhere.
    TEST_F(AdapterPlanTest, FewEnginesWaitForRequestsOnWhatTheyDrop)
    {
        for (auto number = 0; number < 12; ++number) {
            const auto name = std::to_string(number);
            addEngine("engine" + name, { "a" + name, "b" + name, "c" + name, "d" + name });
            for (const auto* letter : { "a", "b", "c", "d" })
                wish(letter + name, 0.5, 0, 1);
            wish("waited" + name, 0.2, 1);
        }
        EXPECT_EQ(plan().m_orders.size(), 1U)
            << "all adapters are in use, and one has to make room in the end";
        for (auto number = 0; number < 12; ++number)
            m_demands[static_cast<std::size_t>(number) * 5].m_inFlight = 0;
        const auto planned = plan();
        EXPECT_EQ(planned.m_orders.size(), 12U) << "idle ones go at once";
        for (const auto& order : planned.m_orders)
            EXPECT_EQ(order.m_adapter.substr(0, 7), "model/a") << order.m_adapter;
    }

    TEST_F(AdapterPlanTest, DropsNoSecondAdapterWhileAPlaceIsComing)
    {
        auto& engine = addEngine("engine", { "a1", "a2", "a3", "a4" });
        ordersOf(m_orderTracker, engine).m_unloading.insert("model/a1");
        wish("new", 1, 1);
        EXPECT_TRUE(plan().m_orders.empty());
    }

    TEST_F(AdapterPlanTest, GivesMoreCopiesToWhatIsAskedForMost)
    {
        addEngine("one", { "popular" });
        addEngine("two");
        wish("popular", 6);
        const auto planned = plan();
        ASSERT_EQ(planned.m_orders.size(), 1U);
        EXPECT_EQ(planned.m_orders[0].m_upstream->m_record.m_name, UpstreamName("two"));
    }

    TEST_F(AdapterPlanTest, LoadsTheModelOnAnEngineWithoutOne)
    {
        auto& engine = addEngine("empty");
        engine.m_record.m_models.clear();
        wish("a1", 1, 1);
        const auto planned = plan();
        ASSERT_EQ(planned.m_orders.size(), 1U);
        EXPECT_EQ(planned.m_orders[0].m_model, "model");
        EXPECT_TRUE(planned.m_orders[0].m_adapter.empty());
    }

    TEST_F(AdapterPlanTest, OrdersNothingAtAnEngineThatHasNotReported)
    {
        auto& engine = addEngine("unknown");
        ordersOf(m_orderTracker, engine).m_reportedAt = {};
        wish("a1", 1, 1);
        EXPECT_TRUE(plan().m_orders.empty());
    }

    TEST_F(AdapterPlanTest, ReplacesAnOldVersionOnceAnotherEngineHasTheNewOne)
    {
        addEngine("old", { "a1" });
        auto& fresh = addEngine("fresh");
        applyAdapterVersion(m_table, { "model/a1", 2 }, at(0));
        wish("a1", 1, 1);
        auto planned = plan();
        ASSERT_EQ(planned.m_orders.size(), 1U);
        EXPECT_EQ(planned.m_orders[0].m_upstream->m_record.m_name, UpstreamName("fresh"));
        EXPECT_EQ(planned.m_orders[0].m_version, 2U);
        recordLoadOrder(fresh, { "model/a1", 2 }, at(0.5), at(0.2));
        planned = plan();
        ASSERT_EQ(planned.m_orders.size(), 1U);
        EXPECT_EQ(planned.m_orders[0].m_upstream->m_record.m_name, UpstreamName("old"));
    }

    // Seen on a site: versions announced during an outage of the store were all replaced at once after it.
    TEST_F(AdapterPlanTest, ReplacesOnlyAsManyVersionsAtOnceAsThereArePlacesLeft)
    {
        // 5 places, one of them always kept free.
        addEngine("full", { "a1", "a2", "a3" });
        auto& fresh = addEngine("fresh");
        for (const auto* adapter : { "model/a1", "model/a2", "model/a3" }) {
            applyAdapterVersion(m_table, { adapter, 2 }, at(0));
            recordLoadOrder(fresh, { adapter, 2 }, at(0.5), at(0.2));
        }
        const auto loads = loadsOf(plan());
        ASSERT_EQ(loads.size(), 1U) << "an adapter on its way takes a place beside its older version";
        EXPECT_TRUE(loads[0].m_replaces);
        enqueueOrder(ordersOf(m_orderTracker, *loads[0].m_upstream), loads[0], at(1), at(2));
        EXPECT_TRUE(loadsOf(plan()).empty()) << "the place is taken until the engine says otherwise";
    }

    TEST_F(AdapterPlanTest, AnEnginesNextRunMayStillGetOrdersWithoutAnswer)
    {
        auto& before = addEngine("engine", { "a1", "a2" });
        ordersOf(m_orderTracker, before).m_loading["model/a3"] = at(9);
        ordersOf(m_orderTracker, before).m_unconfirmed["model/a4"] = UnconfirmedOrder { at(9), {} };
        auto after = Upstream();
        after.m_record = before.m_record;
        EXPECT_TRUE(ordersOf(m_orderTracker, after).m_loading.empty());
        EXPECT_TRUE(ordersOf(m_orderTracker, after).m_unconfirmed.contains("model/a4"));
    }

    // The load that hurt most on the first days: every adapter is new, and one in ten gets most requests.
    TEST_F(AdapterPlanTest, ServesAStartWithoutAnyAdapterWithinItsLoads)
    {
        for (auto number = 0; number < 12; ++number)
            addEngine("engine-" + std::to_string(number));
        for (auto number = 0; number < 40; ++number)
            wish("a" + std::to_string(number), number < 4 ? 5 : 0.2, number < 4 ? 5 : 1);
        const auto planned = plan();
        constexpr auto loadsAtFullSpeed = std::size_t { 8 };
        EXPECT_EQ(planned.m_orders.size(), loadsAtFullSpeed);
        auto engines = std::set<UpstreamName>();
        for (const auto& order : planned.m_orders)
            engines.insert(order.m_upstream->m_record.m_name);
        EXPECT_EQ(engines.size(), loadsAtFullSpeed) << "loads are spread over engines";
        for (auto number = 0; number < 4; ++number)
            EXPECT_EQ(planned.m_orders[number].m_adapter.size(), std::string("model/a0").size())
                << "the four that are waited for most come first";
    }

    TEST_F(AdapterPlanTest, LoadsAnAdapterAgainWhereItWasDropped)
    {
        addEngine("idle");
        auto& engine = addEngine("dropped-it", { "busy" });
        wish("busy", 3);
        auto& orders = ordersOf(m_orderTracker, engine);
        const auto drop = AdapterOrder { AdapterOrderKind::Unload,
            m_table.m_upstreams.at(UpstreamName("dropped-it")), "model", "model/back", 0, false, {} };
        applyOrderAnswer(orders, drop, OrderAnswer::AlreadyDone, at(0.5));
        wish("back", 0.3, 1);
        const auto planned = plan();
        ASSERT_FALSE(planned.m_orders.empty());
        EXPECT_EQ(planned.m_orders[0].m_upstream->m_record.m_name, UpstreamName("dropped-it"))
            << "it loads ten times as fast there, and nothing is brought from the weight store";
    }

    TEST_F(AdapterPlanTest, AnEngineThatRestartedHasNothingAtHand)
    {
        auto& engine = addEngine("engine");
        auto& orders = ordersOf(m_orderTracker, engine);
        const auto drop = AdapterOrder { AdapterOrderKind::Unload,
            m_table.m_upstreams.at(UpstreamName("engine")), "model", "model/back", 0, false, {} };
        applyOrderAnswer(orders, drop, OrderAnswer::Accepted, at(0.5));
        EXPECT_TRUE(isCachedAtEngine(orders, "model/back"));
        auto restarted = engineRecord("engine");
        restarted.m_startedAt = 7;
        applyUpstreamRecord(m_table, restarted, at(0.6));
        EXPECT_FALSE(isCachedAtEngine(
            ordersOf(m_orderTracker, *m_table.m_upstreams.at(UpstreamName("engine"))), "model/back"));
    }

    TEST_F(AdapterPlanTest, LoadsElsewhereWhatACrashedEngineHeld)
    {
        auto& crashed = addEngine("crashed", { "wanted" });
        crashed.m_reach.m_refusedPeers = { { VmName("one"), at(0.9) }, { VmName("two"), at(0.9) } };
        addEngine("sound");
        wish("wanted", 1, 1);
        const auto planned = plan();
        ASSERT_EQ(planned.m_orders.size(), 1U);
        EXPECT_EQ(planned.m_orders[0].m_upstream->m_record.m_name, UpstreamName("sound"));
    }

    TEST_F(AdapterPlanTest, ACopyThatManyRequestsNeedGoesBeforeAnAdapterThatOneRequestNeeds)
    {
        addEngine("full", { "popular" });
        addEngine("other");
        wish("rare", 0.2, 1);
        wish("popular", 30, 12, 40);
        const auto planned = plan();
        ASSERT_FALSE(planned.m_orders.empty());
        EXPECT_EQ(planned.m_orders[0].m_adapter, "model/popular") << "its only engine can't take all";
    }

    TEST_F(AdapterPlanTest, RequestsWaitForTheFirstCopyThatIsOnItsWay)
    {
        auto& engine = addEngine("loading");
        ordersOf(m_orderTracker, engine).m_loading["model/new"] = at(2);
        addEngine("other");
        wish("new", 0.5, 3);
        EXPECT_TRUE(plan().m_orders.empty());
    }

    TEST_F(AdapterPlanTest, DropsAnIdleAdapterBeforeItsPlaceIsNeeded)
    {
        addEngine("engine", { "a1", "a2", "a3" });
        wish("a1", 2, 0, 1);
        wish("a2", 0.01);
        wish("a3", 1);
        const auto planned = plan();
        ASSERT_EQ(planned.m_orders.size(), 1U);
        EXPECT_EQ(planned.m_orders[0].m_kind, AdapterOrderKind::Unload);
        EXPECT_EQ(planned.m_orders[0].m_adapter, "model/a2");
    }

    // Seen on a site: a holder that could not order during an outage of the store took entries that were
    // older than its own last orders for what engines held, and overfilled one with its first order after the
    // outage.
    TEST_F(AdapterPlanTest, GivesNoOrderToAnEngineThatHasNotReportedForSeconds)
    {
        auto& engine = addEngine("engine");
        ordersOf(m_orderTracker, engine).m_reportedAt = at(-3);
        wish("a1", 1, 1);
        EXPECT_TRUE(plan().m_orders.empty());
        ordersOf(m_orderTracker, engine).m_reportedAt = at(0.9);
        EXPECT_EQ(loadsOf(plan()).size(), 1U);
    }

    TEST_F(AdapterPlanTest, AfterATimeWithoutOrdersEnginesReportFirst)
    {
        addEngine("engine");
        wish("a1", 1, 1);
        requireReports(m_orderTracker);
        EXPECT_TRUE(plan().m_orders.empty());
    }

} // namespace
} // namespace marigoldladder::relay
