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
                            PeerSpending { 1, spent });
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

    TEST(OrganisationBudgetTest, ARestartedNodeStartsWithNothing)
    {
        auto budgets = OrganisationBudgets();
        const auto share = BudgetShare { 0.125, 1, true, 0 };
        const auto decision = chargeOrganisation(budgets, organisation(), 50, share, at(0));
        EXPECT_FALSE(decision.m_allowed);
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
        enterPeerSpending(budgets, 1, VmName("peer"), { 1, 500 });
        enterPeerSpending(budgets, 1, VmName("peer"), { 1, 600 });
        enterPeerSpending(budgets, 1, VmName("peer"), { 2, 50 });
        EXPECT_EQ(budgets.m_peers.at(1).m_total, 650);
    }

} // namespace
} // namespace marigoldladder::relay
