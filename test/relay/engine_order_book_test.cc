#include "relay/engine_order_book.h"

#include "relay/relay_fixtures.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    class EngineOrderBookTest : public testing::Test {
    protected:
        EngineOrderBookTest() { applyUpstreamRecord(m_table, engineRecord("engine"), at(-100)); }

        auto engine() -> UpstreamPointer { return m_table.m_upstreams.at(UpstreamName("engine")); }

        auto orders() -> EngineOrders& { return ordersOf(m_book, *engine()); }

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
            bookOrder(orders(), order, at(0), at(9));
            return takeNextOrder(orders()).value();
        }

        UpstreamTable m_table;
        EngineOrderBook m_book;
    };

    TEST_F(EngineOrderBookTest, SendsEachOrderOnConditionOfThoseAcceptedBefore)
    {
        EXPECT_TRUE(enterAcceptedCount(orders(), 4, at(0)));
        const auto first = sent(load("a1"));
        EXPECT_EQ(first.m_acceptedBefore, 4U);
        enterAnswer(orders(), first, OrderAnswer::Accepted, at(1));
        const auto second = sent(unload("a2"));
        EXPECT_EQ(second.m_acceptedBefore, 5U);
        enterAnswer(orders(), second, OrderAnswer::AlreadyDone, at(1));
        EXPECT_EQ(sent(load("a3")).m_acceptedBefore, 6U) << "an adapter dropped at once counts too";
    }

    TEST_F(EngineOrderBookTest, SendsOneOrderAfterTheOther)
    {
        (void)enterAcceptedCount(orders(), 0, at(0));
        const auto first = sent(load("a1"));
        bookOrder(orders(), load("a2"), at(0), at(9));
        EXPECT_FALSE(takeNextOrder(orders())) << "the first one has no answer yet";
        enterAnswer(orders(), first, OrderAnswer::Accepted, at(1));
        EXPECT_EQ(takeNextOrder(orders())->m_adapter, "model/a2");
    }

    TEST_F(EngineOrderBookTest, NeedsAReportAfterAnOrderWithoutAnswer)
    {
        (void)enterAcceptedCount(orders(), 4, at(0));
        const auto first = sent(load("a1"));
        bookOrder(orders(), load("a2"), at(0), at(9));
        enterAnswer(orders(), first, OrderAnswer::Unknown, at(1));
        EXPECT_FALSE(takeNextOrder(orders()));
        EXPECT_TRUE(orders().m_unanswered.empty()) << "what was not sent keeps no place";
        EXPECT_TRUE(orders().m_doubtful.contains("model/a1"));
        EXPECT_TRUE(enterAcceptedCount(orders(), 4, at(2)));
        EXPECT_EQ(sent(load("a2")).m_acceptedBefore, 4U) << "only one of the two can be carried out";
    }

    TEST_F(EngineOrderBookTest, NeedsAReportWhenTheEngineHasAcceptedAnotherNumber)
    {
        (void)enterAcceptedCount(orders(), 4, at(0));
        enterAnswer(orders(), sent(load("a1")), OrderAnswer::Busy, at(1));
        bookOrder(orders(), load("a2"), at(0), at(9));
        EXPECT_FALSE(takeNextOrder(orders()));
        EXPECT_TRUE(orders().m_loading.empty()) << "neither order is under way";
    }

    TEST_F(EngineOrderBookTest, ForgetsAnOrderWithoutAnswerOnceALaterOneWasAccepted)
    {
        (void)enterAcceptedCount(orders(), 4, at(0));
        enterAnswer(orders(), sent(load("a1")), OrderAnswer::Unknown, at(1));
        (void)enterAcceptedCount(orders(), 4, at(2));
        enterAnswer(orders(), sent(load("a2")), OrderAnswer::Accepted, at(2));
        EXPECT_TRUE(orders().m_doubtful.empty()) << "its condition can't hold any more";
    }

    TEST_F(EngineOrderBookTest, KeepsAnOrderWithoutAnswerThatTheEnginesNextRunMayCarryOut)
    {
        (void)enterAcceptedCount(orders(), 4, at(0));
        enterAnswer(orders(), sent(load("a1")), OrderAnswer::Unknown, at(1));
        auto next = Upstream();
        next.m_record = engine()->m_record;
        auto& orders = ordersOf(m_book, next);
        (void)enterAcceptedCount(orders, 0, at(2));
        EXPECT_TRUE(orders.m_doubtful.contains("model/a1")) << "four orders from now its condition holds";
        dropOldBookings(m_book, m_table, at(20));
        EXPECT_FALSE(orders.m_doubtful.contains("model/a1"));
    }

    TEST_F(EngineOrderBookTest, PassesOverAReportOlderThanItsLastOrder)
    {
        (void)enterAcceptedCount(orders(), 4, at(0));
        enterAnswer(orders(), sent(load("a1")), OrderAnswer::Accepted, at(1));
        EXPECT_FALSE(enterAcceptedCount(orders(), 4, at(1.2)));
        EXPECT_EQ(orders().m_accepted, 5U);
        EXPECT_TRUE(enterAcceptedCount(orders(), 4, at(5))) << "by now the engine has said all it accepted";
        EXPECT_EQ(orders().m_accepted, 4U);
    }

    TEST_F(EngineOrderBookTest, CountsAReplacedVersionUntilTheEngineHasTheNewOne)
    {
        (void)enterAcceptedCount(orders(), 0, at(0));
        auto replacement = load("a1");
        replacement.m_replaces = true;
        enterAnswer(orders(), sent(replacement), OrderAnswer::Accepted, at(1));
        EXPECT_TRUE(orders().m_replacing.contains("model/a1"));
        enterReplacing(orders(), {}, at(0.5));
        EXPECT_TRUE(orders().m_replacing.contains("model/a1")) << "the report may be older than the order";
        enterReplacing(orders(), { "model/a2" }, at(5));
        EXPECT_FALSE(orders().m_replacing.contains("model/a1"));
        EXPECT_TRUE(orders().m_replacing.contains("model/a2")) << "ordered by another node";
    }

    TEST_F(EngineOrderBookTest, SetsNoConditionForAnEngineThatDoesNotCount)
    {
        (void)enterAcceptedCount(orders(), std::nullopt, at(0));
        const auto first = sent(load("a1"));
        EXPECT_FALSE(first.m_acceptedBefore);
        enterAnswer(orders(), first, OrderAnswer::Accepted, at(1));
        EXPECT_FALSE(sent(load("a2")).m_acceptedBefore);
    }

} // namespace
} // namespace marigoldladder::relay
