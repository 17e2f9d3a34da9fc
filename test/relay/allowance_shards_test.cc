#include "relay/allowance_shards.h"

#include "relay/relay_fixtures.h"

#include <gtest/gtest.h>
#include <random>

namespace marigoldladder::relay {
namespace {

    constexpr auto rate = 50'000.0;
    constexpr auto burst = 180'000.0;
    constexpr auto slackTokens = 17'000.0; // Permitted beyond the excess share.
    constexpr auto windowSeconds = 8.0;
    constexpr auto windowBound = 1.1 * (windowSeconds * rate + burst) + slackTokens;
    constexpr auto requestTokens = 1'500.0;
    constexpr auto stepSeconds = 0.01;

    auto organisation() -> Organisation
    {
        auto result = Organisation();
        result.m_name = OrganisationName("acme");
        result.m_tokensPerSecond = rate;
        result.m_burstTokens = burst;
        return result;
    }

    auto bootClockAt(double seconds) -> BootClockTime
    {
        return std::chrono::duration_cast<BootClockTime>(std::chrono::duration<double>(seconds));
    }

    // Simulates nodes that exchange summaries and charge one organisation's requests.
    class Fleet {
    public:
        explicit Fleet(std::size_t nodes)
            : m_nodes(nodes)
        {
            for (auto node = std::size_t { 0 }; node < nodes; ++node)
                restart(node);
        }

        // Resets the node's state, except the list of nodes, which it reads from the store.
        auto restart(std::size_t node) -> void
        {
            m_nodes[node] = Node();
            m_nodes[node].m_view.m_membersRead = true;
            for (auto peer = std::size_t { 0 }; peer < m_nodes.size(); ++peer) {
                if (peer != node)
                    m_nodes[node].m_view.m_peers[nameOf(peer)].m_vm = nameOf(peer);
            }
        }

        auto setPaused(std::size_t node, bool paused) -> void { m_nodes[node].m_paused = paused; }

        // Partitions the fleet into two groups of nodes; 0 ends the partition.
        auto partition(std::size_t firstOfSecondGroup) -> void { m_partitionAt = firstOfSecondGroup; }

        // Cuts all nodes off from each other.
        auto isolate() -> void { m_isolated = true; }

        // Sends all requests to one node.
        auto sendRequestsTo(std::size_t node) -> void { m_onlyNode = node; }

        // Advances the time. Each node sends a summary to all others every 2 s and updates its shards every
        // 0.2 s.
        auto advance(double seconds) -> void
        {
            for (auto end = m_time + seconds; m_time < end; m_time += stepSeconds, ++m_step) {
                for (auto node = std::size_t { 0 }; node < m_nodes.size(); ++node) {
                    if ((m_step + node) % 200 == 0)
                        sendSummary(node);
                    if ((m_step + node) % 20 == 0)
                        update(node);
                }
                sendDueRequests();
            }
        }

        // Sets the rate of the requests, which arrive at random nodes.
        auto setDemand(double tokensPerSecond) -> void { m_demand = tokensPerSecond; }

        // Returns the largest number of tokens granted in any window.
        auto maxGrantedInWindow() const -> double
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

        auto ownersOfFirstShard() const -> std::size_t
        {
            return static_cast<std::size_t>(
                std::count_if(m_nodes.begin(), m_nodes.end(), [](const Node& node) {
                    return node.m_owned.m_shards.contains({ shortId("acme"), 0 });
                }));
        }

    private:
        struct Node {
            FleetView m_view;
            OwnedShards m_owned;
            std::vector<VmName> m_candidates;
            bool m_paused = false; // Its process doesn't run: it receives, sends and grants nothing.
        };

        static auto nameOf(std::size_t node) -> VmName { return VmName("vm-" + std::to_string(node)); }

        auto canReach(std::size_t left, std::size_t right) const -> bool
        {
            const auto partitioned = m_partitionAt != 0 && (left < m_partitionAt) != (right < m_partitionAt);
            return !partitioned && !m_isolated && !m_nodes[left].m_paused && !m_nodes[right].m_paused;
        }

        auto sendSummary(std::size_t from) -> void
        {
            for (auto to = std::size_t { 0 }; to < m_nodes.size(); ++to) {
                if (to == from || !canReach(from, to))
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
            if (node.m_paused)
                return;
            auto context = ShardContext();
            context.m_self = nameOf(index);
            context.m_now = at(m_time);
            context.m_bootClockNow = bootClockAt(m_time + 100);
            node.m_candidates = shardCandidates(node.m_view, { nameOf(index), 0.5, true }, context.m_now);
            context.m_candidates = node.m_candidates;
            context.m_reachableShare = reachableShare(node.m_view, context.m_now);
            updateOwnedShards(node.m_owned, { m_organisation }, context);
        }

        auto sendDueRequests() -> void
        {
            m_dueTokens += m_demand * stepSeconds;
            for (; m_dueTokens >= requestTokens; m_dueTokens -= requestTokens) {
                const auto node = m_onlyNode.value_or(m_random() % m_nodes.size());
                if (!m_nodes[node].m_paused && isGranted(node))
                    m_granted.push_back(m_time);
            }
        }

        auto isGranted(std::size_t from) -> bool
        {
            const auto shards = shardCount(m_organisation);
            const auto first = m_random() % shards;
            for (auto index = std::size_t { 0 }; index < shards; ++index) {
                const auto shard = ShardId { shortId("acme"), (first + index) % shards };
                const auto owner = shardOwner(m_nodes[from].m_candidates, shard);
                for (auto to = std::size_t { 0 }; owner && to < m_nodes.size(); ++to) {
                    if (nameOf(to) != *owner || !(to == from || canReach(from, to)))
                        continue;
                    const auto charged
                        = chargeShard(m_nodes[to].m_owned, shard, m_organisation, requestTokens, at(m_time));
                    if (charged.m_outcome == ChargeOutcome::Granted)
                        return true;
                }
            }
            return false;
        }

        Organisation m_organisation = organisation();
        std::vector<Node> m_nodes;
        std::vector<double> m_granted; // Time of each granted request, in seconds.
        std::size_t m_partitionAt = 0;
        bool m_isolated = false;
        std::optional<std::size_t> m_onlyNode;
        std::size_t m_step = 0;
        double m_time = 0;
        double m_demand = 0;
        double m_dueTokens = 0;
        std::mt19937 m_random { 7 };
    };

    constexpr auto nodesOfLargeFleet = std::size_t { 195 };

    TEST(AllowanceShardsTest, RequestsWithinTheRateAreGrantedAtAllNodesOfALargeFleet)
    {
        auto fleet = Fleet(nodesOfLargeFleet);
        fleet.advance(10);
        fleet.setDemand(0.9 * rate);
        fleet.advance(10);
        EXPECT_GE(fleet.granted(), 0.99 * 0.9 * rate * 10);
    }

    TEST(AllowanceShardsTest, AnOrganisationMaySpendItsWholeBurstAtOnce)
    {
        auto fleet = Fleet(nodesOfLargeFleet);
        fleet.advance(10);
        fleet.setDemand(5 * rate);
        fleet.advance(1);
        EXPECT_GE(fleet.granted(), 0.97 * (burst + rate));
    }

    TEST(AllowanceShardsTest, SeveralTimesTheRateIsHeldToTheLimit)
    {
        auto fleet = Fleet(nodesOfLargeFleet);
        fleet.setDemand(0.6 * rate);
        fleet.advance(10);
        fleet.setDemand(5 * rate);
        fleet.advance(10);
        EXPECT_LE(fleet.maxGrantedInWindow(), windowBound);
        EXPECT_GE(fleet.granted(), 0.95 * (0.6 * rate * 8 + burst + rate * 10))
            << "less than 95 % of what the limit permits was granted";
    }

    // Guards against granting too much when all processes are killed at once while an organisation sends five
    // times its usual load, which happened at a site.
    TEST(AllowanceShardsTest, ALargeFleetThatRestartsAtOnceHoldsTheLimit)
    {
        auto fleet = Fleet(nodesOfLargeFleet);
        fleet.setDemand(0.6 * rate);
        fleet.advance(10);
        fleet.setDemand(3 * rate);
        fleet.advance(4);
        for (auto node = std::size_t { 0 }; node < nodesOfLargeFleet; ++node)
            fleet.restart(node);
        fleet.advance(10);
        EXPECT_LE(fleet.maxGrantedInWindow(), windowBound);
    }

    TEST(AllowanceShardsTest, TwoRestartsOfAllNodesInAWindowHoldTheLimit)
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
            EXPECT_LE(fleet.maxGrantedInWindow(), windowBound) << nodes << " nodes";
        }
    }

    TEST(AllowanceShardsTest, NodesPausedInTurnHoldTheLimitWhenTheyResume)
    {
        auto fleet = Fleet(8);
        fleet.advance(10);
        fleet.setDemand(5 * rate);
        for (auto node = std::size_t { 0 }; node < 8; ++node) {
            fleet.setPaused(node, true);
            fleet.advance(4);
            fleet.setPaused(node, false);
        }
        EXPECT_LE(fleet.maxGrantedInWindow(), windowBound);
    }

    TEST(AllowanceShardsTest, BothSidesOfANetworkPartitionHoldTheLimitTogether)
    {
        for (const auto group : { std::size_t { 1 }, std::size_t { 60 }, std::size_t { 98 } }) {
            auto fleet = Fleet(nodesOfLargeFleet);
            fleet.advance(10);
            fleet.setDemand(5 * rate);
            fleet.advance(4);
            fleet.partition(group);
            fleet.advance(12);
            fleet.partition(0);
            fleet.advance(8);
            EXPECT_LE(fleet.maxGrantedInWindow(), windowBound) << "size of the first group: " << group;
        }
    }

    TEST(AllowanceShardsTest, NodesThatAreAllIsolatedHoldTheLimitTogether)
    {
        for (const auto nodes : { std::size_t { 8 }, nodesOfLargeFleet }) {
            auto fleet = Fleet(nodes);
            fleet.advance(10);
            fleet.setDemand(5 * rate);
            fleet.advance(2);
            fleet.isolate();
            fleet.advance(12);
            EXPECT_LE(fleet.maxGrantedInWindow(), windowBound) << nodes << " nodes";
        }
    }

    TEST(AllowanceShardsTest, RequestsWithinTheRateAreGrantedWhereverTheyArrive)
    {
        auto fleet = Fleet(8);
        fleet.advance(10);
        fleet.sendRequestsTo(5);
        fleet.setDemand(0.6 * rate);
        fleet.advance(8);
        EXPECT_GE(fleet.granted(), 0.98 * 0.6 * rate * 8) << "all requests arrive at one of 8 nodes";
    }

    TEST(AllowanceShardsTest, TheLossOfANodeCostsAtMostItsShareOfTheRate)
    {
        auto fleet = Fleet(8);
        fleet.setDemand(0.6 * rate);
        fleet.advance(10);
        const auto before = fleet.granted();
        fleet.setPaused(3, true);
        fleet.advance(5);
        EXPECT_GE(fleet.granted() - before, 0.6 * rate * 5 * 7 / 8 * 0.97)
            << "requests that arrive at the seven running nodes of eight";
    }

    TEST(AllowanceShardsTest, EachShardHasOneOwner)
    {
        auto fleet = Fleet(61);
        fleet.advance(5);
        EXPECT_EQ(fleet.ownersOfFirstShard(), 1U);
    }

    auto updateAsOnlyNode(OwnedShards& owned, MonotonicTime now, double seconds) -> void
    {
        auto context = ShardContext();
        context.m_self = VmName("self");
        context.m_candidates = { VmName("self") };
        context.m_now = now;
        context.m_bootClockNow = bootClockAt(seconds);
        updateOwnedShards(owned, { organisation() }, context);
    }

    TEST(AllowanceShardsTest, ARefundRestoresTheTokensOfARequestThatDidNotRun)
    {
        auto owned = OwnedShards();
        updateAsOnlyNode(owned, at(0), 10);
        updateAsOnlyNode(owned, at(10), 11);
        const auto name = ShardId { shortId("acme"), 1 };
        const auto charged = chargeShard(owned, name, organisation(), burst / 3, at(10));
        ASSERT_EQ(charged.m_outcome, ChargeOutcome::Granted);
        EXPECT_EQ(chargeShard(owned, name, organisation(), 50, at(10)).m_outcome, ChargeOutcome::Refused);
        refundShard(owned, name, charged.m_bucketId, charged.m_charge, burst / 3);
        EXPECT_EQ(chargeShard(owned, name, organisation(), 50, at(10)).m_outcome, ChargeOutcome::Granted);
    }

    TEST(AllowanceShardsTest, ARefundToAReplacedBucketHasNoEffect)
    {
        auto owned = OwnedShards();
        updateAsOnlyNode(owned, at(0), 10);
        const auto name = ShardId { shortId("acme"), 1 };
        const auto charged = chargeShard(owned, name, organisation(), 50, at(0));
        ASSERT_EQ(charged.m_outcome, ChargeOutcome::Granted);
        updateAsOnlyNode(owned, at(0), 20);
        const auto before = owned.m_shards.at(name).m_bucket.m_tokens;
        refundShard(owned, name, charged.m_bucketId, charged.m_charge, 50);
        EXPECT_EQ(owned.m_shards.at(name).m_bucket.m_tokens, before);
    }

    TEST(AllowanceShardsTest, ARequestLargerThanAShardIsGrantedOnceTheShardIsFull)
    {
        auto owned = OwnedShards();
        updateAsOnlyNode(owned, at(0), 10);
        const auto name = ShardId { shortId("acme"), 0 };
        EXPECT_EQ(chargeShard(owned, name, organisation(), burst, at(1)).m_outcome, ChargeOutcome::Refused);
        EXPECT_EQ(chargeShard(owned, name, organisation(), burst, at(10)).m_outcome, ChargeOutcome::Granted);
        const auto next = chargeShard(owned, name, organisation(), 50, at(10));
        EXPECT_EQ(next.m_outcome, ChargeOutcome::Refused);
        EXPECT_GT(next.m_retryAfter, Milliseconds(5'000)) << "the retry time includes the refill of the debt";
    }

    // Requests that are refused at the same time must not all retry at the same time.
    TEST(AllowanceShardsTest, RefusedRequestsGetARetryTimeAtWhichTheirTokensAreRefilled)
    {
        auto singleShard = organisation();
        singleShard.m_burstTokens = 15'000;
        ASSERT_EQ(shardCount(singleShard), 1U);
        auto owned = OwnedShards();
        auto context = ShardContext();
        context.m_self = VmName("self");
        context.m_candidates = { VmName("self") };
        context.m_now = at(0);
        updateOwnedShards(owned, { singleShard }, context);
        const auto name = ShardId { shortId("acme"), 0 };
        while (chargeShard(owned, name, singleShard, requestTokens, at(0)).m_outcome
            == ChargeOutcome::Granted) { }
        auto retryTimes = std::vector<double>();
        for (auto request = 0; request < 50; ++request) {
            const auto refused = chargeShard(owned, name, singleShard, requestTokens, at(0));
            retryTimes.push_back(std::chrono::duration<double>(refused.m_retryAfter).count());
        }
        auto granted = 0;
        for (const auto time : retryTimes) {
            const auto charged = chargeShard(owned, name, singleShard, requestTokens, at(time + 0.001));
            granted += charged.m_outcome == ChargeOutcome::Granted ? 1 : 0;
        }
        EXPECT_EQ(granted, 50);
        EXPECT_LE(retryTimes.back(), 52 * requestTokens / rate)
            << "retry times exceed the time in which the tokens are refilled";
    }

    TEST(AllowanceShardsTest, AnOrganisationWhoseLimitWasRemovedIsGrantedEverything)
    {
        auto owned = OwnedShards();
        updateAsOnlyNode(owned, at(0), 10);
        auto unlimited = organisation();
        unlimited.m_tokensPerSecond = 0;
        const auto name = ShardId { shortId("acme"), 0 };
        const auto charged = chargeShard(owned, name, unlimited, 100 * burst, at(0));
        EXPECT_EQ(charged.m_outcome, ChargeOutcome::Granted);
        const auto before = owned.m_shards.at(name).m_bucket.m_tokens;
        refundShard(owned, name, charged.m_bucketId, charged.m_charge, 100 * burst);
        EXPECT_EQ(owned.m_shards.at(name).m_bucket.m_tokens, before);
    }

    TEST(AllowanceShardsTest, ANodeThatDoesNotKnowTheFleetOwnsNoShards)
    {
        const auto self = ShardCandidate { VmName("self"), 1, true };
        EXPECT_TRUE(shardCandidates(FleetView(), self, at(0)).empty());
        auto fleet = FleetView();
        fleet.m_membersRead = true;
        EXPECT_EQ(shardCandidates(fleet, self, at(0)).size(), 1U);
    }

    TEST(AllowanceShardsTest, ASmallBurstIsNotSplit)
    {
        auto small = organisation();
        small.m_burstTokens = 5'000;
        EXPECT_EQ(shardCount(small), 1U);
        EXPECT_EQ(shardCount(organisation()), 3U);
    }

} // namespace
} // namespace marigoldladder::relay
