#include "relay/order_effects.h"

#include "relay/relay_fixtures.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    class OrderEffectsTest : public testing::Test {
    protected:
        OrderEffectsTest()
        {
            applyUpstreamRecord(m_table, engineRecord("engine", { "a1" }), at(-100));
            (void)applyReport(orders(), *engine(), report(4, { "a1" }), at(0));
        }

        auto engine() -> UpstreamPointer { return m_table.m_upstreams.at(UpstreamName("engine")); }

        auto orders() -> EngineOrders& { return ordersOf(m_orderTracker, *engine()); }

        // Returns a report with the number of accepted orders and the adapters listed as loaded.
        static auto report(std::uint64_t accepted, const std::vector<std::string>& adapters) -> EngineReport
        {
            auto report = EngineReport();
            report.m_models = { "model" };
            for (const auto& adapter : adapters)
                report.m_adapters.push_back({ "model/" + adapter, 1 });
            report.m_acceptedOrders = accepted;
            return report;
        }

        // Has the engine accept an order at that time.
        auto accept(AdapterOrderKind kind, const std::string& adapter, OrderAnswer answer, MonotonicTime now)
            -> void
        {
            auto order = AdapterOrder { kind, engine(), "model", "model/" + adapter, 0, false, {} };
            enqueueOrder(orders(), order, now, now + Milliseconds(200));
            const auto sent = dequeueOrder(orders());
            ASSERT_TRUE(sent) << "no order may be sent to the engine";
            applyOrderAnswer(orders(), *sent, answer, now);
            (void)applyCompletedOrder(orders(), *engine(), *sent, answer, now);
        }

        UpstreamTable m_table;
        EngineOrderTracker m_orderTracker;
    };

    // Replays an engine under steady load: it accepts an order each 200 ms, so each report is older than the
    // last order. Such an engine used to get no orders until it had been left alone for two seconds.
    TEST_F(OrderEffectsTest, AnEngineWithSteadyOrdersKeepsGettingThem)
    {
        auto accepted = std::uint64_t { 4 };
        for (auto number = 0; number < 60; ++number) {
            const auto now = at(0.2 * number);
            accept(AdapterOrderKind::Load, "b" + std::to_string(number), OrderAnswer::Accepted, now);
            if (number % 7 == 0)
                (void)applyReport(orders(), *engine(), report(accepted, { "a1" }), now + Milliseconds(1));
            ++accepted;
            EXPECT_TRUE(hasFreshReport(orders(), now + Milliseconds(2))) << "after order " << number;
        }
    }

    TEST_F(OrderEffectsTest, AnOlderReportDoesNotReplaceWhatOrdersChanged)
    {
        accept(AdapterOrderKind::Unload, "a1", OrderAnswer::AlreadyDone, at(1));
        accept(AdapterOrderKind::Load, "b1", OrderAnswer::Accepted, at(1));
        // Arrives long after the orders, for example as this node was suspended.
        EXPECT_FALSE(applyReport(orders(), *engine(), report(4, { "a1" }), at(2.9)));
        EXPECT_TRUE(engine()->m_adapters.at("model/a1").m_evicted);
        EXPECT_TRUE(engine()->m_adapters.contains("model/b1"));
    }

    TEST_F(OrderEffectsTest, AnOlderReportIsNoSubstituteForARequiredOne)
    {
        accept(AdapterOrderKind::Load, "b1", OrderAnswer::Accepted, at(1));
        requireReports(m_orderTracker);
        EXPECT_FALSE(applyReport(orders(), *engine(), report(4, { "a1" }), at(1.1)));
        EXPECT_FALSE(hasFreshReport(orders(), at(1.2)));
        EXPECT_TRUE(applyReport(orders(), *engine(), report(5, { "a1", "b1" }), at(1.3)));
        EXPECT_TRUE(hasFreshReport(orders(), at(1.4)));
    }

    TEST_F(OrderEffectsTest, AnOlderReportKeepsTheStoresEntryFromReplacingWhatOrdersChanged)
    {
        accept(AdapterOrderKind::Load, "b1", OrderAnswer::Accepted, at(1));
        EXPECT_FALSE(applyReport(orders(), *engine(), report(4, { "a1" }), at(2.9)));
        applyUpstreamRecord(m_table, engineRecord("engine", { "a1" }), at(6));
        EXPECT_TRUE(engine()->m_adapters.contains("model/b1"));
    }

} // namespace
} // namespace marigoldladder::relay
