#include "relay/adapter_plan_fixture.h"

namespace marigoldladder::relay {
namespace {

    // Plans while engines hold, or have cached, most of the adapters that requests wait for.
    class CachedAdapterPlanTest : public AdapterPlanTest { };

    TEST_F(CachedAdapterPlanTest, ReloadsAnAdapterWhereItIsCached)
    {
        addEngine("idle");
        auto& engine = addEngine("caching", { "busy" });
        addDemand("busy", 3);
        auto& orders = ordersOf(m_orderTracker, engine);
        const auto unload = AdapterOrder { AdapterOrderKind::Unload,
            m_table.m_upstreams.at(UpstreamName("caching")), "model", "model/back", 0, false, {} };
        applyOrderAnswer(orders, unload, OrderAnswer::AlreadyDone, at(0.5));
        addDemand("back", 0.3, 1);
        const auto planned = plan();
        ASSERT_FALSE(planned.m_orders.empty());
        EXPECT_EQ(planned.m_orders[0].m_upstream->m_record.m_name, UpstreamName("caching"))
            << "the reload there is ten times as fast and does not use the weight store";
    }

    TEST_F(CachedAdapterPlanTest, FillsAllSlotsOfAnEngineThatCountsItsOrders)
    {
        auto& engine = addEngine("engine", { "a1", "a2", "a3", "a4" });
        ordersOf(m_orderTracker, engine).m_acceptedCount = 7;
        addDemand("a5", 1, 1);
        addDemand("a6", 1, 1);
        const auto loads = loadsOf(plan());
        ASSERT_EQ(loads.size(), 1U) << "one slot of five is free";
    }

    // Replays a load of many rare adapters that come back: all slots are taken, and an adapter that was
    // evicted is wanted again. It used to be loaded from the weight store wherever a slot became free first.
    TEST_F(CachedAdapterPlanTest, MakesRoomForAnAdapterWhereItIsCached)
    {
        addCachingEngine("caching", { "b1", "b2", "b3", "idle", "b5" });
        auto& other = addEngine("other", { "c1" });
        ordersOf(m_orderTracker, other).m_acceptedCount = 1;
        for (const auto* adapter : { "b1", "b2", "b3", "b5" })
            addDemand(adapter, 2, 0, 1);
        addDemand("back", 0.3, 1);
        addDemand("new", 0.2, 1);
        const auto planned = plan();
        ASSERT_EQ(planned.m_orders.size(), 2U);
        EXPECT_EQ(planned.m_orders[0].m_kind, AdapterOrderKind::Unload);
        EXPECT_EQ(planned.m_orders[0].m_adapter, "model/idle");
        EXPECT_EQ(planned.m_orders[1].m_adapter, "model/new") << "another adapter is loaded elsewhere";
        enqueueOrder(
            ordersOf(m_orderTracker, *planned.m_orders[0].m_upstream), planned.m_orders[0], at(1), at(1));
        for (const auto& order : plan().m_orders)
            EXPECT_NE(order.m_adapter, "model/back") << "its slot is about to become free";
    }

    TEST_F(CachedAdapterPlanTest, KeepsAnAdapterThatMayStillBeLoadingWhileAnOrderIsUnconfirmed)
    {
        addCachingEngine("engine", { "b1", "b2", "b3" });
        auto& engine = *m_table.m_upstreams.at(UpstreamName("engine"));
        recordLoadOrder(engine, { "model/loading", 1 }, at(0.9), at(0.5));
        for (const auto* adapter : { "b1", "b2", "b3" })
            addDemand(adapter, 2, 0, 1);
        addDemand("new", 0.2, 1);
        ordersOf(m_orderTracker, engine).m_unconfirmed["model/late"] = UnconfirmedOrder { at(10), 3 };
        for (const auto& order : plan().m_orders)
            EXPECT_NE(order.m_adapter, "model/loading") << "its load may be under way";
    }

    TEST_F(CachedAdapterPlanTest, LoadsACachedAdapterElsewhereRatherThanDisplaceAPopularOne)
    {
        addCachingEngine("caching", { "b1", "b2", "b3", "b4", "b5" });
        addEngine("other");
        for (const auto* adapter : { "b1", "b2", "b3", "b4", "b5" })
            addDemand(adapter, 1.5);
        addDemand("back", 0.3, 1);
        const auto planned = plan();
        ASSERT_FALSE(planned.m_orders.empty());
        EXPECT_EQ(planned.m_orders[0].m_adapter, "model/back");
        EXPECT_EQ(planned.m_orders[0].m_upstream->m_record.m_name, UpstreamName("other"));
    }

    TEST_F(CachedAdapterPlanTest, ReloadsACachedAdapterWhileTheWeightStoreIsBusy)
    {
        addCachingEngine("caching", { "b1" });
        for (auto number = 0; number < 2; ++number) {
            auto& loading = addEngine("loading" + std::to_string(number));
            for (auto load = 0; load < 4; ++load)
                ordersOf(m_orderTracker, loading).m_loading["model/l" + std::to_string(number * 4 + load)]
                    = at(2);
        }
        addDemand("back", 0.3, 1);
        addDemand("new", 0.2, 1);
        const auto planned = plan();
        ASSERT_EQ(planned.m_orders.size(), 1U) << "the store carries eight loads";
        EXPECT_EQ(planned.m_orders[0].m_adapter, "model/back");
    }

    TEST_F(CachedAdapterPlanTest, ARestartedEngineHasNoCachedAdapters)
    {
        auto& engine = addEngine("engine");
        auto& orders = ordersOf(m_orderTracker, engine);
        const auto unload = AdapterOrder { AdapterOrderKind::Unload,
            m_table.m_upstreams.at(UpstreamName("engine")), "model", "model/back", 0, false, {} };
        applyOrderAnswer(orders, unload, OrderAnswer::Accepted, at(0.5));
        EXPECT_TRUE(isCachedAtEngine(orders, "model/back"));
        auto restarted = engineRecord("engine");
        restarted.m_startedAt = 7;
        applyUpstreamRecord(m_table, restarted, at(0.6));
        EXPECT_FALSE(isCachedAtEngine(
            ordersOf(m_orderTracker, *m_table.m_upstreams.at(UpstreamName("engine"))), "model/back"));
    }

} // namespace
} // namespace marigoldladder::relay
