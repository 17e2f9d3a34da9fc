#include "relay/adapter_plan_fixture.h"

namespace marigoldladder::relay {
namespace {

    TEST_F(AdapterPlanTest, LoadsAdaptersThatRequestsWaitForFirst)
    {
        addEngine("engine");
        addDemand("popular", 5, 1);
        addDemand("awaited", 1, 4);
        const auto planned = plan();
        ASSERT_GE(planned.m_orders.size(), 2U);
        EXPECT_EQ(planned.m_orders[0].m_adapter, "model/awaited");
        EXPECT_EQ(planned.m_orders[1].m_adapter, "model/popular");
    }

    TEST_F(AdapterPlanTest, NeverFillsAnEngineBeyondItsSlots)
    {
        // Of 5 slots, one is kept free, 3 are taken, and a load under way takes one more.
        auto& engine = addEngine("engine", { "a1", "a2", "a3" });
        ordersOf(m_orderTracker, engine).m_loading["model/a4"] = at(2);
        addDemand("a5", 1, 1);
        for (const auto& order : plan().m_orders)
            EXPECT_NE(order.m_kind, AdapterOrderKind::Load) << "ordered " << order.m_adapter;
    }

    TEST_F(AdapterPlanTest, KeepsTheSlotOfAnAdapterThatOnlyARequestFoundMissing)
    {
        auto& engine = addEngine("engine", { "a1", "a2", "a3", "a4" });
        EXPECT_TRUE(recordAdapterRefusal(engine, "model/a4", at(0.5)));
        addDemand("a5", 1, 1);
        for (const auto& order : plan().m_orders)
            EXPECT_NE(order.m_kind, AdapterOrderKind::Load) << "ordered " << order.m_adapter;
    }

    TEST_F(AdapterPlanTest, KeepsASlotForAnUnconfirmedOrder)
    {
        auto& engine = addEngine("engine", { "a1", "a2", "a3" });
        ordersOf(m_orderTracker, engine).m_unconfirmed["model/a4"] = UnconfirmedOrder { at(10), {} };
        addDemand("a5", 1, 1);
        for (const auto& order : plan().m_orders)
            EXPECT_NE(order.m_kind, AdapterOrderKind::Load) << "ordered " << order.m_adapter;
    }

    TEST_F(AdapterPlanTest, KeepsASlotForAnOrderThatIsNotAnsweredYet)
    {
        // The expected time of the load is over, and its answer has not arrived.
        auto& engine = addEngine("engine", { "a1", "a2", "a3" });
        ordersOf(m_orderTracker, engine).m_unansweredLoads.insert("model/a4");
        addDemand("a5", 1, 1);
        for (const auto& order : plan().m_orders)
            EXPECT_NE(order.m_kind, AdapterOrderKind::Load) << "ordered " << order.m_adapter;
    }

    TEST_F(AdapterPlanTest, EvictsTheAdapterWithTheLowestDemandThatIsNotInUse)
    {
        addEngine("engine", { "used", "wanted", "idle", "liked" });
        addDemand("used", 0.01, 0, 1);
        addDemand("wanted", 2);
        addDemand("liked", 1);
        addDemand("idle", 0.02);
        addDemand("new", 0.2, 1);
        const auto planned = plan();
        ASSERT_EQ(planned.m_orders.size(), 1U);
        EXPECT_EQ(planned.m_orders[0].m_kind, AdapterOrderKind::Unload);
        EXPECT_EQ(planned.m_orders[0].m_adapter, "model/idle");
    }

    // Guards against blocked engines, seen on a site with 5 slots per engine: most engines waited for the
    // requests on adapters that they had to unload and accepted no orders, while three times as many adapters
    // became idle elsewhere.
    TEST_F(AdapterPlanTest, FewEnginesUnloadAdaptersInUseAtATime)
    {
        for (auto number = 0; number < 12; ++number) {
            const auto name = std::to_string(number);
            addEngine("engine" + name, { "a" + name, "b" + name, "c" + name, "d" + name });
            for (const auto* letter : { "a", "b", "c", "d" })
                addDemand(letter + name, 0.5, 0, 1);
            addDemand("waited" + name, 0.2, 1);
        }
        EXPECT_EQ(plan().m_orders.size(), 1U)
            << "all adapters are in use, and only one engine may unload one of them";
        for (auto number = 0; number < 12; ++number)
            m_demands[static_cast<std::size_t>(number) * 5].m_inFlight = 0;
        const auto planned = plan();
        EXPECT_EQ(planned.m_orders.size(), 12U) << "idle adapters are evicted at once";
        for (const auto& order : planned.m_orders)
            EXPECT_EQ(order.m_adapter.substr(0, 7), "model/a") << order.m_adapter;
    }

    TEST_F(AdapterPlanTest, EvictsNoSecondAdapterWhileOneIsBeingUnloaded)
    {
        auto& engine = addEngine("engine", { "a1", "a2", "a3", "a4" });
        ordersOf(m_orderTracker, engine).m_unloading.insert("model/a1");
        addDemand("new", 1, 1);
        EXPECT_TRUE(plan().m_orders.empty());
    }

    TEST_F(AdapterPlanTest, LoadsAnotherCopyOfAnAdapterWithAHighRate)
    {
        addEngine("one", { "popular" });
        addEngine("two");
        addDemand("popular", 6);
        const auto planned = plan();
        ASSERT_EQ(planned.m_orders.size(), 1U);
        EXPECT_EQ(planned.m_orders[0].m_upstream->m_record.m_name, UpstreamName("two"));
    }

    TEST_F(AdapterPlanTest, LoadsTheModelAtAnEngineWithoutOne)
    {
        auto& engine = addEngine("empty");
        engine.m_record.m_models.clear();
        addDemand("a1", 1, 1);
        const auto planned = plan();
        ASSERT_EQ(planned.m_orders.size(), 1U);
        EXPECT_EQ(planned.m_orders[0].m_model, "model");
        EXPECT_TRUE(planned.m_orders[0].m_adapter.empty());
    }

    TEST_F(AdapterPlanTest, SendsNoOrderToAnEngineThatHasNotReported)
    {
        auto& engine = addEngine("unknown");
        ordersOf(m_orderTracker, engine).m_reportedAt = {};
        addDemand("a1", 1, 1);
        EXPECT_TRUE(plan().m_orders.empty());
    }

    TEST_F(AdapterPlanTest, ReplacesAnOldVersionOnceAnotherEngineHasTheNewOne)
    {
        addEngine("old", { "a1" });
        auto& fresh = addEngine("fresh");
        announce(m_table, { "model/a1", 2 }, at(0));
        addDemand("a1", 1, 1);
        auto planned = plan();
        ASSERT_EQ(planned.m_orders.size(), 1U);
        EXPECT_EQ(planned.m_orders[0].m_upstream->m_record.m_name, UpstreamName("fresh"));
        EXPECT_EQ(planned.m_orders[0].m_version, 2U);
        recordLoadOrder(fresh, { "model/a1", 2 }, at(0.5), at(0.2));
        planned = plan();
        ASSERT_EQ(planned.m_orders.size(), 1U);
        EXPECT_EQ(planned.m_orders[0].m_upstream->m_record.m_name, UpstreamName("old"));
    }

    // Guards against overfilled engines: versions announced during an outage of the store were all replaced
    // at once after it.
    TEST_F(AdapterPlanTest, ReplacesOnlyAsManyVersionsAtOnceAsThereAreFreeSlots)
    {
        // Of 5 slots, one is always kept free.
        addEngine("full", { "a1", "a2", "a3" });
        auto& fresh = addEngine("fresh");
        for (const auto* adapter : { "model/a1", "model/a2", "model/a3" }) {
            announce(m_table, { adapter, 2 }, at(0));
            recordLoadOrder(fresh, { adapter, 2 }, at(0.5), at(0.2));
        }
        const auto loads = loadsOf(plan());
        ASSERT_EQ(loads.size(), 1U) << "a loading adapter takes a slot beside its older version";
        EXPECT_TRUE(loads[0].m_replaces);
        enqueueOrder(ordersOf(m_orderTracker, *loads[0].m_upstream), loads[0], at(1), at(2));
        EXPECT_TRUE(loadsOf(plan()).empty()) << "the slot is taken until the engine reports otherwise";
    }

    // The engine refuses the requests for it that have not begun, so that they can run elsewhere.
    TEST_F(AdapterPlanTest, UnloadsAVersionThatNoRequestMayBeginOnThoughRequestsUseIt)
    {
        addEngine("old", { "a1" });
        auto& fresh = addEngine("fresh");
        announce(m_table, { "model/a1", 2 }, at(-4));
        recordLoadOrder(fresh, { "model/a1", 2 }, at(0.5), at(0.2));
        addDemand("a1", 1, 0, 3);
        const auto planned = plan();
        ASSERT_EQ(planned.m_orders.size(), 1U);
        EXPECT_EQ(planned.m_orders[0].m_kind, AdapterOrderKind::Unload);
        EXPECT_EQ(planned.m_orders[0].m_upstream->m_record.m_name, UpstreamName("old"));
    }

    TEST_F(AdapterPlanTest, AnEnginesNextRunKeepsUnconfirmedOrders)
    {
        auto& before = addEngine("engine", { "a1", "a2" });
        ordersOf(m_orderTracker, before).m_loading["model/a3"] = at(9);
        ordersOf(m_orderTracker, before).m_unconfirmed["model/a4"] = UnconfirmedOrder { at(9), {} };
        auto after = Upstream();
        after.m_record = before.m_record;
        EXPECT_TRUE(ordersOf(m_orderTracker, after).m_loading.empty());
        EXPECT_TRUE(ordersOf(m_orderTracker, after).m_unconfirmed.contains("model/a4"));
    }

    // The most demanding load: no adapter is loaded yet, and one in ten gets most requests.
    TEST_F(AdapterPlanTest, ColdStartUsesTheConcurrentLoadsAtFullSpeed)
    {
        for (auto number = 0; number < 12; ++number)
            addEngine("engine-" + std::to_string(number));
        for (auto number = 0; number < 40; ++number)
            addDemand("a" + std::to_string(number), number < 4 ? 5 : 0.2, number < 4 ? 5 : 1);
        const auto planned = plan();
        constexpr auto loadsAtFullSpeed = std::size_t { 8 };
        EXPECT_EQ(planned.m_orders.size(), loadsAtFullSpeed);
        auto engines = std::set<UpstreamName>();
        for (const auto& order : planned.m_orders)
            engines.insert(order.m_upstream->m_record.m_name);
        EXPECT_EQ(engines.size(), loadsAtFullSpeed) << "loads are spread over engines";
        for (auto number = 0; number < 4; ++number)
            EXPECT_EQ(planned.m_orders[number].m_adapter.size(), std::string("model/a0").size())
                << "the four adapters with the most waiting requests come first";
    }

    TEST_F(AdapterPlanTest, LoadsTheAdaptersOfACrashedEngineElsewhere)
    {
        auto& crashed = addEngine("crashed", { "wanted" });
        crashed.m_reachability.m_refusedPeers = { { VmName("one"), at(0.9) }, { VmName("two"), at(0.9) } };
        addEngine("healthy");
        addDemand("wanted", 1, 1);
        const auto planned = plan();
        ASSERT_EQ(planned.m_orders.size(), 1U);
        EXPECT_EQ(planned.m_orders[0].m_upstream->m_record.m_name, UpstreamName("healthy"));
    }

    TEST_F(AdapterPlanTest, ACopyForManyRequestsPrecedesAnAdapterForOneRequest)
    {
        addEngine("full", { "popular" });
        addEngine("other");
        addDemand("rare", 0.2, 1);
        addDemand("popular", 30, 12, 40);
        const auto planned = plan();
        ASSERT_FALSE(planned.m_orders.empty());
        EXPECT_EQ(planned.m_orders[0].m_adapter, "model/popular")
            << "its only engine can't serve all its requests";
    }

    TEST_F(AdapterPlanTest, LoadsNoSecondCopyWhileTheFirstIsLoading)
    {
        auto& engine = addEngine("loading");
        ordersOf(m_orderTracker, engine).m_loading["model/new"] = at(2);
        addEngine("other");
        addDemand("new", 0.5, 3);
        EXPECT_TRUE(plan().m_orders.empty());
    }

    TEST_F(AdapterPlanTest, EvictsAnIdleAdapterBeforeItsSlotIsNeeded)
    {
        addEngine("engine", { "a1", "a2", "a3" });
        addDemand("a1", 2, 0, 1);
        addDemand("a2", 0.01);
        addDemand("a3", 1);
        const auto planned = plan();
        ASSERT_EQ(planned.m_orders.size(), 1U);
        EXPECT_EQ(planned.m_orders[0].m_kind, AdapterOrderKind::Unload);
        EXPECT_EQ(planned.m_orders[0].m_adapter, "model/a2");
    }

    // Guards against overfilled engines: during an outage of the store, the lease holder could not send
    // orders and replaced what it knew of engines by entries older than its own last orders. Its first order
    // after the outage overfilled an engine.
    TEST_F(AdapterPlanTest, SendsNoOrderToAnEngineWhoseLastReportIsSecondsOld)
    {
        auto& engine = addEngine("engine");
        ordersOf(m_orderTracker, engine).m_reportedAt = at(-3);
        addDemand("a1", 1, 1);
        EXPECT_TRUE(plan().m_orders.empty());
        ordersOf(m_orderTracker, engine).m_reportedAt = at(0.9);
        EXPECT_EQ(loadsOf(plan()).size(), 1U);
    }

    TEST_F(AdapterPlanTest, EnginesReportFirstAfterATimeWithoutOrders)
    {
        addEngine("engine");
        addDemand("a1", 1, 1);
        requireReports(m_orderTracker);
        EXPECT_TRUE(plan().m_orders.empty());
    }

} // namespace
} // namespace marigoldladder::relay
