#include "relay/adapter_plan.h"
#include "relay/order_effects.h"

#include "relay/relay_fixtures.h"

#include <gtest/gtest.h>
#include <random>

namespace marigoldladder::relay {
namespace {

    // An engine by its published behaviour: it carries an order out only if its count of accepted orders is
    // the one that the order depends on, and it fails when more adapters are loaded than it has slots.
    struct FakeEngine {
        std::uint64_t m_accepted = 0;
        std::set<std::string> m_adapters; // Loaded.
        std::set<std::string> m_pending; // Loading; they occupy slots too.
        std::set<std::string> m_draining; // Unloaded by order, while their requests still run.
        std::set<std::string> m_inUse;
        std::size_t m_mostSlots = 0;
    };

    auto carryOut(FakeEngine& engine, const AdapterOrder& order) -> OrderAnswer
    {
        if (order.m_acceptedBefore && *order.m_acceptedBefore != engine.m_accepted)
            return OrderAnswer::Busy;
        if (order.m_kind == AdapterOrderKind::Load) {
            if (engine.m_adapters.contains(order.m_adapter) || engine.m_pending.contains(order.m_adapter))
                return OrderAnswer::AlreadyDone;
            engine.m_pending.insert(order.m_adapter);
            ++engine.m_accepted;
            engine.m_mostSlots
                = std::max(engine.m_mostSlots, engine.m_adapters.size() + engine.m_pending.size());
            return OrderAnswer::Accepted;
        }
        if (!engine.m_adapters.contains(order.m_adapter))
            return OrderAnswer::AlreadyDone; // Also while it is loading, which goes on.
        if (!engine.m_draining.empty())
            return OrderAnswer::Busy;
        ++engine.m_accepted;
        if (engine.m_inUse.contains(order.m_adapter)) {
            engine.m_draining.insert(order.m_adapter);
            return OrderAnswer::Accepted;
        }
        engine.m_adapters.erase(order.m_adapter);
        return OrderAnswer::AlreadyDone;
    }

    auto reportOf(const FakeEngine& engine) -> EngineReport
    {
        auto report = EngineReport();
        report.m_models = { "model" };
        report.m_acceptedOrders = engine.m_accepted;
        for (const auto& adapter : engine.m_adapters)
            report.m_adapters.push_back({ adapter, 1 });
        for (const auto& adapter : engine.m_pending)
            report.m_pending.push_back({ adapter, 1 });
        return report;
    }

    // A node that may hold the order lease, with its own view of the engine.
    struct Holder {
        UpstreamTable m_table;
        EngineOrderTracker m_orderTracker;
    };

    // Orders from two holders that take turns, over a network that loses, delays and repeats them and their
    // answers, to one engine whose reports are late.
    class OrderLimitRun {
    public:
        explicit OrderLimitRun(unsigned seed)
            : m_random(seed)
            , m_configuration(configurationWith(enginePool()))
        {
            for (auto& holder : m_holders)
                applyUpstreamRecord(holder.m_table, engineRecord("engine"), at(-100));
        }

        auto run() -> std::size_t
        {
            constexpr auto steps = 600;
            for (auto step = 0; step < steps; ++step) {
                m_now = at(0.05 * step);
                m_pastReports.push_back(reportOf(m_engine));
                changeEngine();
                deliverLateOrders();
                if (draw(100) == 0)
                    changeHolder();
                if (draw(6) == 0)
                    receiveReport();
                planAndSend();
            }
            return m_engine.m_mostSlots;
        }

        auto loads() const -> std::size_t { return m_loads; }

    private:
        auto draw(int range) -> int { return std::uniform_int_distribution(0, range - 1)(m_random); }

        auto holder() -> Holder& { return m_holders.at(m_current); }

        auto upstream() -> UpstreamPointer { return holder().m_table.m_upstreams.at(UpstreamName("engine")); }

        auto adapterName() -> std::string { return "model/a" + std::to_string(draw(14)); }

        auto changeEngine() -> void
        {
            m_engine.m_inUse = { adapterName(), adapterName() };
            if (draw(6) == 0)
                m_engine.m_adapters.merge(m_engine.m_pending);
            if (draw(4) != 0 || m_engine.m_draining.empty())
                return;
            for (const auto& adapter : m_engine.m_draining)
                m_engine.m_adapters.erase(adapter);
            m_engine.m_draining.clear();
        }

        auto deliverLateOrders() -> void
        {
            if (m_late.empty() || draw(5) != 0)
                return;
            (void)carryOut(m_engine, m_late.front());
            m_late.pop_front();
        }

        // The other node takes the lease over, as this one was suspended. What it knows may be old.
        auto changeHolder() -> void
        {
            m_current = 1 - m_current;
            requireReports(holder().m_orderTracker);
        }

        // Reports are up to 400 ms old.
        auto receiveReport() -> void
        {
            constexpr auto oldestReport = 8;
            const auto age = std::min<std::size_t>(
                static_cast<std::size_t>(draw(oldestReport)), m_pastReports.size() - 1);
            const auto& report = m_pastReports.at(m_pastReports.size() - 1 - age);
            auto& orders = ordersOf(holder().m_orderTracker, *upstream());
            (void)applyReport(orders, *upstream(), report, m_now);
        }

        auto planAndSend() -> void
        {
            eraseExpiredEntries(holder().m_orderTracker, holder().m_table, m_now);
            auto input = PlanInput();
            input.m_table = &holder().m_table;
            input.m_configuration = &m_configuration;
            input.m_orderTracker = &holder().m_orderTracker;
            for (auto number = 0; number < 4; ++number)
                input.m_demands.push_back({ adapterName(), 0.2, 1, 0 });
            input.m_now = m_now;
            auto& orders = ordersOf(holder().m_orderTracker, *upstream());
            for (const auto& order : planAdapterOrders(input).m_orders)
                enqueueOrder(orders, order, m_now, m_now + Milliseconds(draw(400)));
            while (const auto order = dequeueOrder(orders))
                send(orders, *order);
        }

        auto send(EngineOrders& orders, const AdapterOrder& order) -> void
        {
            enum Fate { Lost, Late, AnswerLost, Repeated, Answered };
            const auto fate = draw(20);
            if (fate == Late)
                m_late.push_back(order);
            auto answer = fate == Lost || fate == Late ? OrderAnswer::Unknown : carryOut(m_engine, order);
            if (fate == Repeated)
                (void)carryOut(m_engine, order);
            if (fate == AnswerLost)
                answer = OrderAnswer::Unknown;
            applyOrderAnswer(orders, order, answer, m_now);
            if (answer != OrderAnswer::Accepted && answer != OrderAnswer::AlreadyDone)
                return;
            m_loads += order.m_kind == AdapterOrderKind::Load ? 1 : 0;
            (void)applyCompletedOrder(orders, *upstream(), order, answer, m_now);
        }

        std::mt19937 m_random;
        RoutingConfiguration m_configuration;
        FakeEngine m_engine;
        std::array<Holder, 2> m_holders;
        std::size_t m_current = 0;
        std::deque<EngineReport> m_pastReports;
        std::deque<AdapterOrder> m_late;
        MonotonicTime m_now {};
        std::size_t m_loads = 0;
    };

    TEST(OrderLimitTest, NoEngineHoldsMoreAdaptersThanItHasSlots)
    {
        constexpr auto seeds = 300U;
        constexpr auto slots = std::size_t { 5 };
        auto most = std::size_t { 0 };
        for (auto seed = 1U; seed <= seeds; ++seed) {
            auto run = OrderLimitRun(seed);
            const auto used = run.run();
            ASSERT_LE(used, slots) << "seed " << seed;
            EXPECT_GE(run.loads(), 10U) << "seed " << seed << ": hardly anything was loaded";
            most = std::max(most, used);
        }
        EXPECT_EQ(most, slots) << "all slots are used";
    }

} // namespace
} // namespace marigoldladder::relay
