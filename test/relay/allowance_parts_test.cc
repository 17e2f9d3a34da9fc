#include "relay/allowance_parts.h"

#include "relay/relay_fixtures.h"

#include <gtest/gtest.h>
#include <random>

namespace marigoldladder::relay {
namespace {

    constexpr auto rate = 50'000.0;
    constexpr auto burst = 180'000.0;
    constexpr auto slackTokens = 17'000.0; // What the users allow beyond share and window.
    constexpr auto windowSeconds = 8.0;
    constexpr auto windowBound = 1.1 * (windowSeconds * rate + burst) + slackTokens;
    constexpr auto requestTokens = 1'500.0;
    constexpr auto tick = 0.01; // Seconds.

    auto organisation() -> Organisation
    {
        auto result = Organisation();
        result.m_name = OrganisationName("acme");
        result.m_tokensPerSecond = rate;
        result.m_burstTokens = burst;
        return result;
    }

    auto uninterruptedAt(double seconds) -> BootClockTime
    {
        return std::chrono::duration_cast<BootClockTime>(std::chrono::duration<double>(seconds));
    }

    // Nodes that tell each other of themselves now and then and charge one organisation's requests.
    class Fleet {
    public:
        explicit Fleet(std::size_t nodes)
            : m_nodes(nodes)
        {
            for (auto node = std::size_t { 0 }; node < nodes; ++node)
                restart(node);
        }

        // Forgets all that the node knows but the list of nodes, which stands in the store.
        auto restart(std::size_t node) -> void
        {
            m_nodes[node] = Node();
            m_nodes[node].m_view.m_membersRead = true;
            for (auto peer = std::size_t { 0 }; peer < m_nodes.size(); ++peer) {
                if (peer != node)
                    m_nodes[node].m_view.m_peers[nameOf(peer)].m_vm = nameOf(peer);
            }
        }

        auto setDown(std::size_t node, bool down) -> void { m_nodes[node].m_down = down; }

        // Cuts the fleet into two groups of nodes that hear only each other.
        auto cut(std::size_t firstOfSecondGroup) -> void { m_cut = firstOfSecondGroup; }

        // Lets no node hear any other.
        auto isolate() -> void { m_isolated = true; }

        // Lets all requests arrive at one node.
        auto offerAt(std::size_t node) -> void { m_onlyNode = node; }

        // Lets time go by; every node tells all others each 2 s and looks after its parts each 0.2 s.
        auto advance(double seconds) -> void
        {
            for (auto end = m_time + seconds; m_time < end; m_time += tick, ++m_step) {
                for (auto node = std::size_t { 0 }; node < m_nodes.size(); ++node) {
                    if ((m_step + node) % 200 == 0)
                        tell(node);
                    if ((m_step + node) % 20 == 0)
                        update(node);
                }
                offer();
            }
        }

        // Requests arrive at random nodes from now on.
        auto setDemand(double tokensPerSecond) -> void { m_demand = tokensPerSecond; }

        // Returns the most tokens that were granted in any window.
        auto mostInAWindow() const -> double
        {
            auto most = 0.0;
            auto sum = 0.0;
            auto first = std::size_t { 0 };
            for (const auto at : m_granted) {
                sum += requestTokens;
                for (; m_granted[first] + windowSeconds <= at; ++first)
                    sum -= requestTokens;
                most = std::max(most, sum);
            }
            return most;
        }

        auto granted() const -> double { return requestTokens * static_cast<double>(m_granted.size()); }

        auto keepersOfFirstPart() const -> std::size_t
        {
            return static_cast<std::size_t>(
                std::count_if(m_nodes.begin(), m_nodes.end(), [](const Node& node) {
                    return node.m_kept.m_parts.contains({ shortId("acme"), 0 });
                }));
        }

    private:
        struct Node {
            FleetView m_view;
            KeptParts m_kept;
            std::vector<VmName> m_candidates;
            bool m_down = false; // It stands still: hears, tells and grants nothing.
        };

        static auto nameOf(std::size_t node) -> VmName { return VmName("vm-" + std::to_string(node)); }

        auto hears(std::size_t left, std::size_t right) const -> bool
        {
            const auto cut = m_cut != 0 && (left < m_cut) != (right < m_cut);
            return !cut && !m_isolated && !m_nodes[left].m_down && !m_nodes[right].m_down;
        }

        auto tell(std::size_t from) -> void
        {
            for (auto to = std::size_t { 0 }; to < m_nodes.size(); ++to) {
                if (to == from || !hears(from, to))
                    continue;
                auto& peer = m_nodes[to].m_view.m_peers[nameOf(from)];
                peer.m_lastReceivedAt = at(m_time);
                peer.m_livenessTimeout = Milliseconds(2'600);
                peer.m_ready = true;
            }
        }

        auto update(std::size_t index) -> void
        {
            auto& node = m_nodes[index];
            if (node.m_down)
                return;
            auto context = PartContext();
            context.m_self = nameOf(index);
            context.m_now = at(m_time);
            context.m_uninterrupted = uninterruptedAt(m_time + 100);
            node.m_candidates = partCandidates(node.m_view, { nameOf(index), 0.5, true }, context.m_now);
            context.m_candidates = node.m_candidates;
            context.m_heardShare = heardShare(node.m_view, context.m_now);
            updateKeptParts(node.m_kept, { m_organisation }, context);
        }

        auto offer() -> void
        {
            m_due += m_demand * tick;
            for (; m_due >= requestTokens; m_due -= requestTokens) {
                const auto node = m_onlyNode.value_or(m_random() % m_nodes.size());
                if (!m_nodes[node].m_down && isGranted(node))
                    m_granted.push_back(m_time);
            }
        }

        auto isGranted(std::size_t from) -> bool
        {
            const auto parts = partsOf(m_organisation);
            const auto first = m_random() % parts;
            for (auto index = std::size_t { 0 }; index < parts; ++index) {
                const auto part = PartName { shortId("acme"), (first + index) % parts };
                const auto keeper = keeperOf(m_nodes[from].m_candidates, part);
                for (auto to = std::size_t { 0 }; keeper && to < m_nodes.size(); ++to) {
                    if (nameOf(to) != *keeper || !(to == from || hears(from, to)))
                        continue;
                    const auto charged
                        = chargePart(m_nodes[to].m_kept, part, m_organisation, requestTokens, at(m_time));
                    if (charged.m_outcome == ChargeOutcome::Granted)
                        return true;
                }
            }
            return false;
        }

        Organisation m_organisation = organisation();
        std::vector<Node> m_nodes;
        std::vector<double> m_granted; // When.
        std::size_t m_cut = 0;
        bool m_isolated = false;
        std::optional<std::size_t> m_onlyNode;
        std::size_t m_step = 0;
        double m_time = 0;
        double m_demand = 0;
        double m_due = 0;
        std::mt19937 m_random { 7 };
    };

    constexpr auto nodesOfLargeFleet = std::size_t { 195 };

    TEST(AllowancePartsTest, RequestsWithinTheRateAreGrantedAtAllNodesOfALargeFleet)
    {
        auto fleet = Fleet(nodesOfLargeFleet);
        fleet.advance(10);
        fleet.setDemand(0.9 * rate);
        fleet.advance(10);
        EXPECT_GE(fleet.granted(), 0.99 * 0.9 * rate * 10);
    }

    TEST(AllowancePartsTest, AnOrganisationMaySpendItsWholeBurstAtOnce)
    {
        auto fleet = Fleet(nodesOfLargeFleet);
        fleet.advance(10);
        fleet.setDemand(5 * rate);
        fleet.advance(1);
        EXPECT_GE(fleet.granted(), 0.97 * (burst + rate));
    }

    TEST(AllowancePartsTest, SeveralTimesTheRateIsHeldToTheLimit)
    {
        auto fleet = Fleet(nodesOfLargeFleet);
        fleet.setDemand(0.6 * rate);
        fleet.advance(10);
        fleet.setDemand(5 * rate);
        fleet.advance(10);
        EXPECT_LE(fleet.mostInAWindow(), windowBound);
        EXPECT_GE(fleet.granted(), 0.95 * (0.6 * rate * 8 + burst + rate * 10)) << "what was allowed";
    }

    // Seen on a site: an organisation asked for five times its usual while all processes were killed at once.
    TEST(AllowancePartsTest, ALargeFleetThatRestartsWholeInAWaveHoldsTheLimit)
    {
        auto fleet = Fleet(nodesOfLargeFleet);
        fleet.setDemand(0.6 * rate);
        fleet.advance(10);
        fleet.setDemand(3 * rate);
        fleet.advance(4);
        for (auto node = std::size_t { 0 }; node < nodesOfLargeFleet; ++node)
            fleet.restart(node);
        fleet.advance(10);
        EXPECT_LE(fleet.mostInAWindow(), windowBound);
    }

    TEST(AllowancePartsTest, TwoRestartsOfAllNodesInAWindowHoldTheLimit)
    {
        for (const auto nodes : { std::size_t { 8 }, std::size_t { 61 }, nodesOfLargeFleet }) {
            auto fleet = Fleet(nodes);
            fleet.advance(10);
            fleet.setDemand(5 * rate);
            for (auto restart = 0; restart < 2; ++restart) {
                fleet.advance(2.5);
                for (auto node = std::size_t { 0 }; node < nodes; ++node)
                    fleet.restart(node);
            }
            fleet.advance(8);
            EXPECT_LE(fleet.mostInAWindow(), windowBound) << nodes << " nodes";
        }
    }

    TEST(AllowancePartsTest, NodesThatStandStillInTurnHoldTheLimitWhenTheyGoOn)
    {
        auto fleet = Fleet(8);
        fleet.advance(10);
        fleet.setDemand(5 * rate);
        for (auto node = std::size_t { 0 }; node < 8; ++node) {
            fleet.setDown(node, true);
            fleet.advance(4);
            fleet.setDown(node, false);
        }
        EXPECT_LE(fleet.mostInAWindow(), windowBound);
    }

    TEST(AllowancePartsTest, NodesThatAreCutOffFromEachOtherHoldTheLimitTogether)
    {
        for (const auto group : { std::size_t { 1 }, std::size_t { 60 }, std::size_t { 98 } }) {
            auto fleet = Fleet(nodesOfLargeFleet);
            fleet.advance(10);
            fleet.setDemand(5 * rate);
            fleet.advance(4);
            fleet.cut(group);
            fleet.advance(12);
            fleet.cut(0);
            fleet.advance(8);
            EXPECT_LE(fleet.mostInAWindow(), windowBound) << "a group of " << group;
        }
    }

    TEST(AllowancePartsTest, NodesThatAllHearNobodyHoldTheLimitTogether)
    {
        for (const auto nodes : { std::size_t { 8 }, nodesOfLargeFleet }) {
            auto fleet = Fleet(nodes);
            fleet.advance(10);
            fleet.setDemand(5 * rate);
            fleet.advance(2);
            fleet.isolate();
            fleet.advance(12);
            EXPECT_LE(fleet.mostInAWindow(), windowBound) << nodes << " nodes";
        }
    }

    TEST(AllowancePartsTest, RequestsWithinTheRateAreGrantedWhereverTheyArrive)
    {
        auto fleet = Fleet(8);
        fleet.advance(10);
        fleet.offerAt(5);
        fleet.setDemand(0.6 * rate);
        fleet.advance(8);
        EXPECT_GE(fleet.granted(), 0.98 * 0.6 * rate * 8) << "all at one of 8 nodes";
    }

    TEST(AllowancePartsTest, TheLossOfAKeeperTakesAwayOnePart)
    {
        auto fleet = Fleet(8);
        fleet.setDemand(0.6 * rate);
        fleet.advance(10);
        const auto before = fleet.granted();
        fleet.setDown(3, true);
        fleet.advance(5);
        EXPECT_GE(fleet.granted() - before, 0.6 * rate * 5 * 7 / 8 * 0.97) << "of seven nodes of eight";
    }

    TEST(AllowancePartsTest, OneNodeKeepsEachPart)
    {
        auto fleet = Fleet(61);
        fleet.advance(5);
        EXPECT_EQ(fleet.keepersOfFirstPart(), 1U);
    }

    auto keptBy(KeptParts& kept, MonotonicTime now, double seconds) -> void
    {
        auto context = PartContext();
        context.m_self = VmName("self");
        context.m_candidates = { VmName("self") };
        context.m_now = now;
        context.m_uninterrupted = uninterruptedAt(seconds);
        updateKeptParts(kept, { organisation() }, context);
    }

    TEST(AllowancePartsTest, ARefundGivesBackWhatDidNotRun)
    {
        auto kept = KeptParts();
        keptBy(kept, at(0), 10);
        keptBy(kept, at(10), 11);
        const auto name = PartName { shortId("acme"), 1 };
        const auto charged = chargePart(kept, name, organisation(), burst / 3, at(10));
        ASSERT_EQ(charged.m_outcome, ChargeOutcome::Granted);
        EXPECT_EQ(chargePart(kept, name, organisation(), 50, at(10)).m_outcome, ChargeOutcome::Refused);
        refundPart(kept, name, charged.m_bucket, charged.m_charge, burst / 3);
        EXPECT_EQ(chargePart(kept, name, organisation(), 50, at(10)).m_outcome, ChargeOutcome::Granted);
    }

    TEST(AllowancePartsTest, ARefundToAPartThatChangedHandsGivesNothing)
    {
        auto kept = KeptParts();
        keptBy(kept, at(0), 10);
        const auto name = PartName { shortId("acme"), 1 };
        const auto charged = chargePart(kept, name, organisation(), 50, at(0));
        ASSERT_EQ(charged.m_outcome, ChargeOutcome::Granted);
        keptBy(kept, at(0), 20);
        const auto before = kept.m_parts.at(name).m_bucket.m_tokens;
        refundPart(kept, name, charged.m_bucket, charged.m_charge, 50);
        EXPECT_EQ(kept.m_parts.at(name).m_bucket.m_tokens, before);
    }

    TEST(AllowancePartsTest, ARequestLargerThanAPartIsChargedOnceThePartIsFull)
    {
        auto kept = KeptParts();
        keptBy(kept, at(0), 10);
        const auto name = PartName { shortId("acme"), 0 };
        EXPECT_EQ(chargePart(kept, name, organisation(), burst, at(1)).m_outcome, ChargeOutcome::Refused);
        EXPECT_EQ(chargePart(kept, name, organisation(), burst, at(10)).m_outcome, ChargeOutcome::Granted);
        const auto next = chargePart(kept, name, organisation(), 50, at(10));
        EXPECT_EQ(next.m_outcome, ChargeOutcome::Refused);
        EXPECT_GT(next.m_retryAfter, Milliseconds(5'000)) << "until the debt is paid";
    }

    // Requests that come together while nothing is left must not all come back together.
    TEST(AllowancePartsTest, RefusedRequestsAreToldToReturnWhenTheirTokensAreThere)
    {
        auto single = organisation();
        single.m_burstTokens = 15'000;
        ASSERT_EQ(partsOf(single), 1U);
        auto kept = KeptParts();
        auto context = PartContext();
        context.m_self = VmName("self");
        context.m_candidates = { VmName("self") };
        context.m_now = at(0);
        updateKeptParts(kept, { single }, context);
        const auto name = PartName { shortId("acme"), 0 };
        while (chargePart(kept, name, single, requestTokens, at(0)).m_outcome == ChargeOutcome::Granted) { }
        auto returns = std::vector<double>();
        for (auto request = 0; request < 50; ++request) {
            const auto refused = chargePart(kept, name, single, requestTokens, at(0));
            returns.push_back(std::chrono::duration<double>(refused.m_retryAfter).count());
        }
        auto granted = 0;
        for (const auto time : returns) {
            const auto charged = chargePart(kept, name, single, requestTokens, at(time + 0.001));
            granted += charged.m_outcome == ChargeOutcome::Granted ? 1 : 0;
        }
        EXPECT_EQ(granted, 50);
        EXPECT_LE(returns.back(), 52 * requestTokens / rate) << "no longer than the tokens take";
    }

    TEST(AllowancePartsTest, AnOrganisationWhoseLimitIsGoneIsGrantedEverything)
    {
        auto kept = KeptParts();
        keptBy(kept, at(0), 10);
        auto unlimited = organisation();
        unlimited.m_tokensPerSecond = 0;
        const auto name = PartName { shortId("acme"), 0 };
        const auto charged = chargePart(kept, name, unlimited, 100 * burst, at(0));
        EXPECT_EQ(charged.m_outcome, ChargeOutcome::Granted);
        const auto before = kept.m_parts.at(name).m_bucket.m_tokens;
        refundPart(kept, name, charged.m_bucket, charged.m_charge, 100 * burst);
        EXPECT_EQ(kept.m_parts.at(name).m_bucket.m_tokens, before);
    }

    TEST(AllowancePartsTest, ANodeThatDoesNotKnowTheFleetKeepsNothing)
    {
        const auto self = PartCandidate { VmName("self"), 1, true };
        EXPECT_TRUE(partCandidates(FleetView(), self, at(0)).empty());
        auto fleet = FleetView();
        fleet.m_membersRead = true;
        EXPECT_EQ(partCandidates(fleet, self, at(0)).size(), 1U);
    }

    TEST(AllowancePartsTest, ASmallBurstIsNotSplit)
    {
        auto small = organisation();
        small.m_burstTokens = 5'000;
        EXPECT_EQ(partsOf(small), 1U);
        EXPECT_EQ(partsOf(organisation()), 3U);
    }

} // namespace
} // namespace marigoldladder::relay
