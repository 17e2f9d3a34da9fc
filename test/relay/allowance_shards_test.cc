#include "relay/allowance_shards.h"

#include "relay/allowance_fleet.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

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
