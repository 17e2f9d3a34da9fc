#include "relay/organisation_budget.h"

#include "relay/fleet_view.h"
#include "relay/relay_fixtures.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    constexpr auto rate = 1'000.0;
    constexpr auto burst = 1'000.0;

    auto organisation() -> Organisation
    {
        auto result = Organisation();
        result.m_name = OrganisationName("acme");
        result.m_tokensPerSecond = rate;
        result.m_burstTokens = burst;
        result.m_plainTokens = 50;
        return result;
    }

    // Several nodes that tell each other their charges every 100 ms.
    struct Fleet {
        explicit Fleet(std::size_t nodes)
            : m_nodes(nodes)
        {
            for (auto& node : m_nodes)
                node.m_startFull = true;
        }

        auto tell() -> void
        {
            for (auto from = std::size_t { 0 }; from < m_nodes.size(); ++from) {
                const auto spent = m_nodes[from].m_budgets[OrganisationName("acme")].m_spent;
                for (auto to = std::size_t { 0 }; to < m_nodes.size(); ++to) {
                    if (to != from)
                        enterPeerSpending(m_nodes[to], shortId("acme"), VmName("vm-" + std::to_string(from)),
                            PeerSpending { 1, spent, {} });
                }
            }
        }

        auto share(bool hearsOthers) const -> BudgetShare
        {
            const auto even = 1.0 / static_cast<double>(m_nodes.size());
            return BudgetShare { even, hearsOthers ? 1.0 : even, hearsOthers, 0 };
        }

        // Offers requests of 50 tokens for 8 s; returns the tokens allowed. `node(step)` says where each
        // goes.
        template <typename Node> auto offer(double tokensPerSecond, bool connected, Node node) -> double
        {
            constexpr auto cost = 50.0;
            constexpr auto length = 8.0;
            auto allowed = 0.0;
            const auto steps = static_cast<int>(length * tokensPerSecond / cost);
            auto nextTell = 0.0;
            for (auto step = 0; step < steps; ++step) {
                const auto time = step * cost / tokensPerSecond;
                for (; connected && nextTell <= time; nextTell += 0.1) {
                    tell();
                    for (auto& budgets : m_nodes)
                        updateFleetLevels(budgets, organisation(), 1, at(nextTell));
                }
                const auto decision = chargeOrganisation(
                    m_nodes[node(step)], organisation(), cost, share(connected), at(time));
                allowed += decision.m_allowed ? cost : 0;
            }
            return allowed;
        }

        std::vector<OrganisationBudgets> m_nodes;
    };

    TEST(OrganisationBudgetTest, RequestsWithinTheRateAreAllowedWhereverTheyArrive)
    {
        auto fleet = Fleet(8);
        const auto offered = 0.6 * rate * 8;
        EXPECT_GE(fleet.offer(0.6 * rate, true, [](int) { return 0; }), 0.98 * offered)
            << "all of 0.6 of the rate arrive at one of 8 nodes";
    }

    TEST(OrganisationBudgetTest, SeveralTimesTheRateIsHeldToTheLimit)
    {
        auto fleet = Fleet(8);
        const auto allowed = fleet.offer(5 * rate, true, [](int step) { return step % 8; });
        EXPECT_LE(allowed, 1.1 * (8 * rate + burst)) << "in 8 s, with 0.1 of excess";
        EXPECT_GE(allowed, 0.9 * 8 * rate);
    }

    TEST(OrganisationBudgetTest, NodesThatHearNobodyHoldTheLimitTogether)
    {
        auto fleet = Fleet(8);
        EXPECT_LE(fleet.offer(5 * rate, false, [](int step) { return step % 8; }), 8 * rate + burst);
    }

    // Nobody may know what was spent before; its part of what the bounds allow beyond the rate is all it has.
    TEST(OrganisationBudgetTest, ARestartedNodeStartsWithLittle)
    {
        auto large = organisation();
        large.m_tokensPerSecond = 10'000;
        large.m_burstTokens = 100'000;
        auto budgets = OrganisationBudgets();
        const auto share = BudgetShare { 0.125, 1, false, 0 };
        auto allowed = 0.0;
        auto decision = chargeOrganisation(budgets, large, 50, share, at(0));
        for (; decision.m_allowed; decision = chargeOrganisation(budgets, large, 50, share, at(0)))
            allowed += 50;
        EXPECT_LE(allowed, 0.125 * (0.05 * (8 * 10'000 + 100'000) + 3'500));
        EXPECT_GT(allowed, 0);
        EXPECT_GT(decision.m_retryAfter.count(), 0);
    }

    TEST(OrganisationBudgetTest, ARefundGivesBackWhatDidNotRun)
    {
        auto budgets = OrganisationBudgets();
        budgets.m_startFull = true;
        const auto share = BudgetShare { 1, 1, false, 0 };
        const auto first = chargeOrganisation(budgets, organisation(), burst, share, at(0));
        ASSERT_TRUE(first.m_allowed);
        EXPECT_FALSE(chargeOrganisation(budgets, organisation(), 50, share, at(0)).m_allowed);
        refundOrganisation(budgets, OrganisationName("acme"), first);
        EXPECT_TRUE(chargeOrganisation(budgets, organisation(), 50, share, at(0)).m_allowed);
        EXPECT_EQ(budgets.m_budgets.at(OrganisationName("acme")).m_spent, 50);
    }

    TEST(OrganisationBudgetTest, APeersNewProcessCountsFromZero)
    {
        auto budgets = OrganisationBudgets();
        budgets.m_startFull = true;
        enterPeerSpending(budgets, 1, VmName("peer"), { 1, 500, {} });
        enterPeerSpending(budgets, 1, VmName("peer"), { 1, 600, {} });
        enterPeerSpending(budgets, 1, VmName("peer"), { 2, 50, {} });
        EXPECT_EQ(budgets.m_peers.at(1).m_total, 650);
    }

    // Seen on a site: a node that had started again took all that its peers had ever spent for new.
    TEST(OrganisationBudgetTest, ARestartedNodeCountsWhatPeersSpendFromThenOn)
    {
        auto budgets = OrganisationBudgets();
        enterPeerSpending(budgets, 1, VmName("peer"), { 1, 400'000, {} });
        EXPECT_EQ(budgets.m_peers.at(1).m_total, 0);
        enterPeerSpending(budgets, 1, VmName("peer"), { 1, 400'100, {} });
        EXPECT_EQ(budgets.m_peers.at(1).m_total, 100);
    }

    TEST(OrganisationBudgetTest, ARestartedNodeTakesTheFleetsLevelFromAPeer)
    {
        auto budgets = OrganisationBudgets();
        updateFleetLevels(budgets, organisation(), 1, at(0));
        const auto& budget = budgets.m_budgets.at(OrganisationName("acme"));
        EXPECT_FALSE(knownFleetLevel(budget)) << "it has nothing to tell others yet";
        enterPeerSpending(budgets, shortId("acme"), VmName("peer"), { 1, 400'000, 600 });
        updateFleetLevels(budgets, organisation(), 1, at(0));
        EXPECT_EQ(knownFleetLevel(budget), 600);
        enterPeerSpending(budgets, shortId("acme"), VmName("peer"), { 1, 400'100, 900 });
        updateFleetLevels(budgets, organisation(), 1, at(0));
        EXPECT_EQ(knownFleetLevel(budget), 500) << "from then on it keeps the level itself";
    }

    TEST(OrganisationBudgetTest, ANodeThatHearsNoLevelKnowsItAfterAWindow)
    {
        auto budgets = OrganisationBudgets();
        updateFleetLevels(budgets, organisation(), 1, at(0));
        updateFleetLevels(budgets, organisation(), 1, at(7));
        const auto& budget = budgets.m_budgets.at(OrganisationName("acme"));
        EXPECT_FALSE(knownFleetLevel(budget));
        updateFleetLevels(budgets, organisation(), 1, at(8));
        EXPECT_TRUE(knownFleetLevel(budget));
    }

    // All nodes lose power twice within one window, and one organisation sends several times its rate.
    TEST(OrganisationBudgetTest, TwoRestartsOfAllNodesHoldTheLimit)
    {
        auto large = organisation();
        large.m_tokensPerSecond = 50'000;
        large.m_burstTokens = 50'000;
        constexpr auto nodes = std::size_t { 8 };
        constexpr auto steps = 4'000; // 8 s of requests of 500 tokens: 250,000 tokens a second.
        constexpr auto cost = 500.0;
        auto fleet = std::vector<OrganisationBudgets>(nodes);
        for (auto& budgets : fleet)
            budgets.m_startFull = true;
        const auto share = BudgetShare { 1.0 / nodes, 1.0 / nodes, false, 10'000.0 / nodes };
        auto allowed = 0.0;
        for (auto step = 0; step < steps; ++step) {
            if (step == steps / 3 || step == 2 * steps / 3)
                fleet = std::vector<OrganisationBudgets>(nodes);
            const auto decision
                = chargeOrganisation(fleet[step % nodes], large, cost, share, at(step * 8.0 / steps));
            allowed += decision.m_allowed ? cost : 0;
        }
        const auto window = 8 * large.m_tokensPerSecond + large.m_burstTokens;
        EXPECT_LE(allowed, 1.1 * window + 17'000) << "the users' bound for a window of 8 s";
    }

} // namespace
} // namespace marigoldladder::relay
