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

        // Books an order and returns it as it is to be sent.
        auto sent(const AdapterOrder& order) -> AdapterOrder
        {
            enqueueOrder(orders(), order, at(0), at(9));
            return dequeueOrder(orders()).value();
        }

        UpstreamTable m_table;
        EngineOrderTracker m_orderTracker;
    };

    TEST_F(EngineOrderTrackerTest, SendsEachOrderOnConditionOfThoseAcceptedBefore)
    {
        EXPECT_TRUE(applyAcceptedCount(orders(), 4, at(0)));
        const auto first = sent(load("a1"));
        EXPECT_EQ(first.m_acceptedBefore, 4U);
        applyOrderAnswer(orders(), first, OrderAnswer::Accepted, at(1));
        const auto second = sent(unload("a2"));
        EXPECT_EQ(second.m_acceptedBefore, 5U);
        applyOrderAnswer(orders(), second, OrderAnswer::AlreadyDone, at(1));
        EXPECT_EQ(sent(load("a3")).m_acceptedBefore, 6U) << "an adapter dropped at once counts too";
    }

    TEST_F(EngineOrderTrackerTest, SendsOneOrderAfterTheOther)
    {
        (void)applyAcceptedCount(orders(), 0, at(0));
        const auto first = sent(load("a1"));
        enqueueOrder(orders(), load("a2"), at(0), at(9));
        EXPECT_FALSE(dequeueOrder(orders())) << "the first one has no answer yet";
        applyOrderAnswer(orders(), first, OrderAnswer::Accepted, at(1));
        EXPECT_EQ(dequeueOrder(orders())->m_adapter, "model/a2");
    }

    TEST_F(EngineOrderTrackerTest, NeedsAReportAfterAnOrderWithoutAnswer)
    {
        (void)applyAcceptedCount(orders(), 4, at(0));
        const auto first = sent(load("a1"));
        enqueueOrder(orders(), load("a2"), at(0), at(9));
        applyOrderAnswer(orders(), first, OrderAnswer::Unknown, at(1));
        EXPECT_FALSE(dequeueOrder(orders()));
        EXPECT_TRUE(orders().m_unansweredLoads.empty()) << "what was not sent keeps no place";
        EXPECT_TRUE(orders().m_unconfirmed.contains("model/a1"));
        EXPECT_TRUE(applyAcceptedCount(orders(), 4, at(2)));
        EXPECT_EQ(sent(load("a2")).m_acceptedBefore, 4U) << "only one of the two can be carried out";
    }

    TEST_F(EngineOrderTrackerTest, NeedsAReportWhenTheEngineHasAcceptedAnotherNumber)
    {
        (void)applyAcceptedCount(orders(), 4, at(0));
        applyOrderAnswer(orders(), sent(load("a1")), OrderAnswer::Busy, at(1));
        enqueueOrder(orders(), load("a2"), at(0), at(9));
        EXPECT_FALSE(dequeueOrder(orders()));
        EXPECT_TRUE(orders().m_loading.empty()) << "neither order is under way";
    }

    TEST_F(EngineOrderTrackerTest, ForgetsAnOrderWithoutAnswerOnceALaterOneWasAccepted)
    {
        (void)applyAcceptedCount(orders(), 4, at(0));
        applyOrderAnswer(orders(), sent(load("a1")), OrderAnswer::Unknown, at(1));
        (void)applyAcceptedCount(orders(), 4, at(2));
        applyOrderAnswer(orders(), sent(load("a2")), OrderAnswer::Accepted, at(2));
        EXPECT_TRUE(orders().m_unconfirmed.empty()) << "its condition can't hold any more";
    }

    TEST_F(EngineOrderTrackerTest, KeepsAnOrderWithoutAnswerThatTheEnginesNextRunMayCarryOut)
    {
        (void)applyAcceptedCount(orders(), 4, at(0));
        applyOrderAnswer(orders(), sent(load("a1")), OrderAnswer::Unknown, at(1));
        auto next = Upstream();
        next.m_record = engine()->m_record;
        auto& orders = ordersOf(m_orderTracker, next);
        (void)applyAcceptedCount(orders, 0, at(2));
        EXPECT_TRUE(orders.m_unconfirmed.contains("model/a1")) << "four orders from now its condition holds";
        eraseExpiredEntries(m_orderTracker, m_table, at(20));
        EXPECT_FALSE(orders.m_unconfirmed.contains("model/a1"));
    }

    TEST_F(EngineOrderTrackerTest, PassesOverAReportOlderThanItsLastOrder)
    {
        (void)applyAcceptedCount(orders(), 4, at(0));
        applyOrderAnswer(orders(), sent(load("a1")), OrderAnswer::Accepted, at(1));
        EXPECT_FALSE(applyAcceptedCount(orders(), 4, at(1.2)));
        EXPECT_EQ(orders().m_acceptedCount, 5U);
        EXPECT_TRUE(applyAcceptedCount(orders(), 4, at(5))) << "by now the engine has said all it accepted";
        EXPECT_EQ(orders().m_acceptedCount, 4U);
    }

    TEST_F(EngineOrderTrackerTest, CountsAReplacedVersionUntilTheEngineHasTheNewOne)
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

    TEST_F(EngineOrderTrackerTest, SetsNoConditionForAnEngineThatDoesNotCount)
    {
        (void)applyAcceptedCount(orders(), std::nullopt, at(0));
        const auto first = sent(load("a1"));
        EXPECT_FALSE(first.m_acceptedBefore);
        applyOrderAnswer(orders(), first, OrderAnswer::Accepted, at(1));
        EXPECT_FALSE(sent(load("a2")).m_acceptedBefore);
    }

} // namespace
} // namespace marigoldladder::relay
