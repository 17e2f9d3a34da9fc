// Many nodes that know each other's requests late, before brittle upstreams, under a clock of the test.
#include "relay/brittle_pools.h"

#include "relay/blackboard_updates.h"
#include "relay/relay_fixtures.h"
#include "relay/upstream_choice.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <random>

namespace marigoldladder::relay {
namespace {

    constexpr auto fewNodes = std::size_t { 9 };
    constexpr auto manyNodes = std::size_t { 61 }; // More than there are slots.
    constexpr auto upstreams = std::size_t { 4 };
    constexpr auto slots = std::size_t { 6 };
    constexpr auto refusalsBorne = 5.0; // In any second.
    constexpr auto summaryInterval = Milliseconds(100); // Among few nodes.
    constexpr auto digestInterval = Milliseconds(600); // Among many.
    constexpr auto travelTime = Milliseconds(1);
    constexpr auto workTime = Milliseconds(60);

    // An upstream that runs as many requests as it has room for and lets none wait.
    struct Server {
        std::size_t m_room = slots;
        std::vector<MonotonicTime> m_ends;
        std::deque<MonotonicTime> m_refusals; // Of the last second.
        std::size_t m_mostRefusals = 0; // In any second.

        auto accepts(MonotonicTime now) -> bool
        {
            std::erase_if(m_ends, [&](MonotonicTime end) { return end <= now; });
            if (m_ends.size() < m_room) {
                m_ends.push_back(now + workTime);
                return true;
            }
            m_refusals.push_back(now);
            while (m_refusals.front() + std::chrono::seconds(1) <= now)
                m_refusals.pop_front();
            m_mostRefusals = std::max(m_mostRefusals, m_refusals.size());
            return false;
        }
    };

    struct Call {
        std::size_t m_node = 0;
        std::size_t m_server = 0;
        UpstreamPointer m_upstream;
        std::size_t m_inFlight = 0;
        MonotonicTime m_at {}; // Of its next step.
        bool m_arrived = false;
        bool m_taken = false;
    };

    class Fleet {
    public:
        explicit Fleet(std::uint32_t seed, std::size_t nodes = fewNodes)
            : m_nodes(nodes)
            , m_configuration(configurationWith(plainPool()))
            , m_tables(nodes)
            , m_servers(upstreams)
            , m_waiting(nodes)
            , m_random(seed)
        {
            for (auto& table : m_tables) {
                for (auto number = std::size_t { 0 }; number < upstreams; ++number) {
                    auto record = UpstreamRecord();
                    record.m_name = nameOf(number);
                    record.m_pool = plainPool().m_name;
                    record.m_slots = slots;
                    applyUpstreamRecord(table, record, m_now);
                }
                recordBrittleness(table, plainPool().m_name, refusalsBorne, m_now);
            }
        }

        // Plays a time in which callers send so many requests a second to each node.
        auto play(Milliseconds time, double requestsPerSecond) -> void
        {
            auto arrivals = std::poisson_distribution<std::size_t>(requestsPerSecond / 1'000);
            for (const auto until = m_now + time; m_now < until; m_now += Milliseconds(1)) {
                if (m_now >= m_nextSummary)
                    exchangeSummaries();
                for (auto node = std::size_t { 0 }; node < m_nodes; ++node) {
                    const auto arrived = arrivals(m_random);
                    m_asked += arrived;
                    m_waiting[node] += arrived;
                    send(node);
                }
                step();
            }
        }

        auto servers() -> std::vector<Server>& { return m_servers; }
        auto served() const -> std::size_t { return m_served; }
        auto asked() const -> std::size_t { return m_asked; }

    private:
        static auto plainPool() -> Pool
        {
            auto pool = Pool();
            pool.m_name = PoolName("plain");
            return pool;
        }

        static auto nameOf(std::size_t number) -> UpstreamName
        {
            return UpstreamName("u" + std::to_string(number));
        }

        auto upstreamOf(std::size_t node, std::size_t number) -> Upstream&
        {
            return *m_tables[node].m_upstreams.at(nameOf(number));
        }

        auto exchangeSummaries() -> void
        {
            m_nextSummary = m_now + (m_nodes > fewNodes ? digestInterval : summaryInterval);
            for (auto number = std::size_t { 0 }; number < upstreams; ++number) {
                auto all = std::size_t { 0 };
                for (auto node = std::size_t { 0 }; node < m_nodes; ++node)
                    all += upstreamOf(node, number).m_inFlight;
                for (auto node = std::size_t { 0 }; node < m_nodes; ++node)
                    upstreamOf(node, number).m_peersInFlight = all - upstreamOf(node, number).m_inFlight;
            }
        }

        auto send(std::size_t node) -> void
        {
            auto needs = UpstreamNeeds();
            needs.m_pool = plainPool().m_name;
            for (; m_waiting[node] > 0; --m_waiting[node]) {
                auto context = ChoiceContext();
                context.m_configuration = &m_configuration;
                context.m_place = { m_nodes, node };
                context.m_now = m_now;
                context.m_jitterSeed = m_random();
                const auto choice = chooseUpstream(m_tables[node], needs, context);
                if (!choice.m_upstream)
                    return;
                auto& upstream = *choice.m_upstream;
                ++upstream.m_inFlight;
                recordRoomTried(upstream, m_now);
                const auto server = static_cast<std::size_t>(upstream.m_record.m_name.value()[1] - '0');
                m_calls.push_back(
                    { node, server, choice.m_upstream, upstream.m_inFlight, m_now + travelTime });
            }
        }

        auto step() -> void
        {
            for (auto& call : m_calls) {
                if (call.m_at > m_now)
                    continue;
                if (call.m_arrived) {
                    end(call);
                    continue;
                }
                call.m_arrived = true;
                call.m_taken = m_servers[call.m_server].accepts(m_now);
                call.m_at = m_now + travelTime + (call.m_taken ? workTime : Milliseconds(0));
            }
            std::erase_if(m_calls, [](const Call& call) { return !call.m_upstream; });
        }

        auto end(Call& call) -> void
        {
            auto& upstream = *call.m_upstream;
            if (call.m_taken) {
                recordRoomTaken(upstream, call.m_inFlight);
                ++m_served;
            } else {
                recordRoomRefused(upstream);
                const auto* brittleness = brittlenessOf(m_tables[call.m_node], plainPool().m_name);
                upstream.m_pausedUntil = m_now + pauseAfterRefusal(*brittleness, m_nodes);
                ++m_waiting[call.m_node];
            }
            --upstream.m_inFlight;
            call.m_upstream = nullptr;
        }

        std::size_t m_nodes;
        RoutingConfiguration m_configuration;
        std::vector<UpstreamTable> m_tables; // Of each node.
        std::vector<Server> m_servers;
        std::vector<std::size_t> m_waiting; // Requests at each node.
        std::mt19937 m_random;
        MonotonicTime m_now { std::chrono::hours(1) };
        MonotonicTime m_nextSummary {};
        std::vector<Call> m_calls;
        std::size_t m_served = 0;
        std::size_t m_asked = 0;
    };

    auto mostRefusals(Fleet& fleet) -> std::size_t
    {
        auto most = std::size_t { 0 };
        for (const auto& server : fleet.servers())
            most = std::max(most, server.m_mostRefusals);
        return most;
    }

    TEST(BrittlePoolsTest, ManyNodesTogetherStayBelowTheRefusalsThatAnUpstreamBears)
    {
        for (auto seed = std::uint32_t { 1 }; seed <= 20; ++seed) {
            SCOPED_TRACE("seed " + std::to_string(seed));
            auto fleet = Fleet(seed);
            fleet.play(Milliseconds(5'000), 10);
            fleet.play(Milliseconds(5'000), 60);
            EXPECT_LE(mostRefusals(fleet), refusalsBorne);
            EXPECT_GT(fleet.served(), 400U);
        }
    }

    TEST(BrittlePoolsTest, ManyNodesStayBelowThemWhenUpstreamsLoseRoom)
    {
        for (auto seed = std::uint32_t { 1 }; seed <= 20; ++seed) {
            SCOPED_TRACE("seed " + std::to_string(seed));
            auto fleet = Fleet(seed);
            fleet.play(Milliseconds(5'000), 20);
            for (auto& server : fleet.servers())
                server.m_room = slots / 2;
            fleet.play(Milliseconds(5'000), 20);
            EXPECT_LE(mostRefusals(fleet), refusalsBorne);
        }
    }

    // Where slots were divided among more nodes than there are slots, most nodes refused all their callers.
    TEST(BrittlePoolsTest, EveryOneOfMoreNodesThanSlotsServesItsCallers)
    {
        for (auto seed = std::uint32_t { 1 }; seed <= 20; ++seed) {
            SCOPED_TRACE("seed " + std::to_string(seed));
            auto fleet = Fleet(seed, manyNodes);
            fleet.play(Milliseconds(10'000), 1);
            EXPECT_GT(fleet.served() * 10, fleet.asked() * 9);
            EXPECT_LE(mostRefusals(fleet), refusalsBorne);
        }
    }

} // namespace
} // namespace marigoldladder::relay
