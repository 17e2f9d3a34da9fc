#include "relay/engine_order_tracker.h"

#include "relay/relay_fixtures.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    class EngineOrderTrackerTest : public testing::Test {
    protected:
        EngineOrderTrackerTest() { applyUpstreamRecord(m_table, engineRecord("engine"), at(-100)); }

        auto engine() -> UpstreamPointer { return m_table.m_upstreams.at(UpstreamName("engine")); }

        auto orders() -> EngineOrders& { return ordersOf(m_orderTracker, *engine()); }

        auto load(const std::string& adapter) -> AdapterOrder
        {
            return { AdapterOrderKind::Load, engine(), "model", "model/" + adapter, 0, false, {} };
        }

        auto unload(const std::string& adapter) -> AdapterOrder
        {
            return { AdapterOrderKind::Unload, engine(), "model", "model/" + adapter, 0, false, {} };
        }

        // Enqueues an order and returns it as dequeued for sending.
        auto sent(const AdapterOrder& order) -> AdapterOrder
        {
            enqueueOrder(orders(), order, at(0), at(9));
            return dequeueOrder(orders()).value();
        }

        UpstreamTable m_table;
        EngineOrderTracker m_orderTracker;
    };

    TEST_F(EngineOrderTrackerTest, EachOrderDependsOnTheNumberOfOrdersAcceptedBefore)
    {
        EXPECT_TRUE(applyAcceptedCount(orders(), 4, at(0)));
        const auto first = sent(load("a1"));
        EXPECT_EQ(first.m_acceptedBefore, 4U);
        applyOrderAnswer(orders(), first, OrderAnswer::Accepted, at(1));
        const auto second = sent(unload("a2"));
        EXPECT_EQ(second.m_acceptedBefore, 5U);
        applyOrderAnswer(orders(), second, OrderAnswer::AlreadyDone, at(1));
        EXPECT_EQ(sent(load("a3")).m_acceptedBefore, 6U) << "an unload that was already done counts too";
    }

    // Guards against engines without orders: an engine answers the unload of an adapter that is still loading
    // as done, but doesn't count it. The next order was rejected, and each report of the engine's real count
    // was taken for an older one for two seconds.
    TEST_F(EngineOrderTrackerTest, BelievesTheCountOfARequiredReportAfterAnUnloadThatMayNotCount)
    {
        (void)applyAcceptedCount(orders(), 4, at(0));
        applyOrderAnswer(orders(), sent(load("a1")), OrderAnswer::Accepted, at(1));
        applyOrderAnswer(orders(), sent(unload("a1")), OrderAnswer::AlreadyDone, at(1.1));
        EXPECT_FALSE(applyAcceptedCount(orders(), 5, at(1.2))) << "the report may be older than the unload";
        const auto next = sent(load("a2"));
        EXPECT_EQ(next.m_acceptedBefore, 6U);
        applyOrderAnswer(orders(), next, OrderAnswer::Busy, at(1.3));
        EXPECT_FALSE(applyAcceptedCount(orders(), 4, at(1.4))) << "older than the load";
        EXPECT_TRUE(applyAcceptedCount(orders(), 5, at(1.5)));
        EXPECT_EQ(sent(load("a2")).m_acceptedBefore, 5U);
    }

    TEST_F(EngineOrderTrackerTest, SendsOneOrderAtATime)
    {
        (void)applyAcceptedCount(orders(), 0, at(0));
        const auto first = sent(load("a1"));
        enqueueOrder(orders(), load("a2"), at(0), at(9));
        EXPECT_FALSE(dequeueOrder(orders())) << "the first order has no answer yet";
        applyOrderAnswer(orders(), first, OrderAnswer::Accepted, at(1));
        EXPECT_EQ(dequeueOrder(orders())->m_adapter, "model/a2");
    }

    TEST_F(EngineOrderTrackerTest, RequiresAReportAfterAnUnansweredOrder)
    {
        (void)applyAcceptedCount(orders(), 4, at(0));
        const auto first = sent(load("a1"));
        enqueueOrder(orders(), load("a2"), at(0), at(9));
        applyOrderAnswer(orders(), first, OrderAnswer::Unknown, at(1));
        EXPECT_FALSE(dequeueOrder(orders()));
        EXPECT_TRUE(orders().m_unansweredLoads.empty()) << "an order that was not sent occupies no slot";
        EXPECT_TRUE(orders().m_unconfirmed.contains("model/a1"));
        EXPECT_TRUE(applyAcceptedCount(orders(), 4, at(2)));
        EXPECT_EQ(sent(load("a2")).m_acceptedBefore, 4U)
            << "the same count as the first order, so only one of them can be carried out";
    }

    TEST_F(EngineOrderTrackerTest, RequiresAReportWhenTheAcceptedCountDiffers)
    {
        (void)applyAcceptedCount(orders(), 4, at(0));
        applyOrderAnswer(orders(), sent(load("a1")), OrderAnswer::Busy, at(1));
        enqueueOrder(orders(), load("a2"), at(0), at(9));
        EXPECT_FALSE(dequeueOrder(orders()));
        EXPECT_TRUE(orders().m_loading.empty()) << "one order was rejected as busy, the other was not sent";
    }

    TEST_F(EngineOrderTrackerTest, RemovesAnUnconfirmedOrderOnceALaterOneWasAccepted)
    {
        (void)applyAcceptedCount(orders(), 4, at(0));
        applyOrderAnswer(orders(), sent(load("a1")), OrderAnswer::Unknown, at(1));
        (void)applyAcceptedCount(orders(), 4, at(2));
        applyOrderAnswer(orders(), sent(load("a2")), OrderAnswer::Accepted, at(2));
        EXPECT_TRUE(orders().m_unconfirmed.empty()) << "the accepted count has passed the one it depends on";
    }

    TEST_F(EngineOrderTrackerTest, KeepsAnUnconfirmedOrderThatTheEnginesNextRunMayCarryOut)
    {
        (void)applyAcceptedCount(orders(), 4, at(0));
        applyOrderAnswer(orders(), sent(load("a1")), OrderAnswer::Unknown, at(1));
        auto next = Upstream();
        next.m_record = engine()->m_record;
        auto& orders = ordersOf(m_orderTracker, next);
        (void)applyAcceptedCount(orders, 0, at(2));
        EXPECT_TRUE(orders.m_unconfirmed.contains("model/a1"))
            << "the new run will reach the accepted count it depends on, 4";
        eraseExpiredEntries(m_orderTracker, m_table, at(20));
        EXPECT_FALSE(orders.m_unconfirmed.contains("model/a1"));
    }

    TEST_F(EngineOrderTrackerTest, AnEnginesNextRunCountsItsOrdersAnewWhereverItIsInMemory)
    {
        (void)applyAcceptedCount(orders(), 4, at(0));
        auto record = engine()->m_record;
        removeUpstream(m_table, record.m_name, at(1));
        record.m_startedAt = 2;
        applyUpstreamRecord(m_table, record, at(2));
        EXPECT_FALSE(orders().m_acceptedCount) << "the count is that of the run before";
    }

    TEST_F(EngineOrderTrackerTest, IgnoresAReportOlderThanTheLastAcceptedOrder)
    {
        (void)applyAcceptedCount(orders(), 4, at(0));
        applyOrderAnswer(orders(), sent(load("a1")), OrderAnswer::Accepted, at(1));
        EXPECT_FALSE(applyAcceptedCount(orders(), 4, at(1.2)));
        EXPECT_EQ(orders().m_acceptedCount, 5U);
        EXPECT_TRUE(applyAcceptedCount(orders(), 4, at(5)))
            << "the report is recent enough to include all accepted orders";
        EXPECT_EQ(orders().m_acceptedCount, 4U);
    }

    TEST_F(EngineOrderTrackerTest, TracksAReplacementUntilTheEngineHasTheNewVersion)
    {
        (void)applyAcceptedCount(orders(), 0, at(0));
        auto replacement = load("a1");
        replacement.m_replaces = true;
        applyOrderAnswer(orders(), sent(replacement), OrderAnswer::Accepted, at(1));
        EXPECT_TRUE(orders().m_replacing.contains("model/a1"));
        applyReplacing(orders(), {}, at(0.5));
        EXPECT_TRUE(orders().m_replacing.contains("model/a1")) << "the report may be older than the order";
        applyReplacing(orders(), { "model/a2" }, at(5));
        EXPECT_FALSE(orders().m_replacing.contains("model/a1"));
        EXPECT_TRUE(orders().m_replacing.contains("model/a2")) << "ordered by another node";
    }

    TEST_F(EngineOrderTrackerTest, OrdersAreUnconditionalForAnEngineThatDoesNotCountThem)
    {
        (void)applyAcceptedCount(orders(), std::nullopt, at(0));
        const auto first = sent(load("a1"));
        EXPECT_FALSE(first.m_acceptedBefore);
        applyOrderAnswer(orders(), first, OrderAnswer::Accepted, at(1));
        EXPECT_FALSE(sent(load("a2")).m_acceptedBefore);
    }

} // namespace
} // namespace marigoldladder::relay
