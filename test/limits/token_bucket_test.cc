#include "limits/token_bucket.h"

#include "limits/charge_log.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldladder {
namespace {

    constexpr auto rate = BucketRate { 10, 100 };

    auto at(double seconds) -> MonotonicTime
    {
        return MonotonicTime(
            std::chrono::duration_cast<MonotonicTime::duration>(std::chrono::duration<double>(seconds)));
    }

    auto bucketWith(double tokens) -> TokenBucket
    {
        auto bucket = TokenBucket();
        bucket.m_tokens = tokens;
        return bucket;
    }

    TEST(TokenBucketTest, RefusesBeyondWhatItHolds)
    {
        auto bucket = bucketWith(100);
        EXPECT_TRUE(charge(bucket, 100));
        EXPECT_FALSE(charge(bucket, 1));
    }

    TEST(TokenBucketTest, RefillsWhileChargesAreOutstanding)
    {
        auto bucket = bucketWith(100);
        charge(bucket, 100);
        refill(bucket, rate, at(5));
        EXPECT_TRUE(charge(bucket, 50)) << "expected 50 tokens after 5 s, found " << bucket.m_tokens;
    }

    TEST(TokenBucketTest, GivesNoRefundForWhatTheRefillHasMadeUpFor)
    {
        auto bucket = bucketWith(100);
        const auto early = charge(bucket, 50);
        refill(bucket, rate, at(5));
        charge(bucket, 100);
        EXPECT_EQ(refund(bucket, *early, 50), 0) << "expected no second burst out of an old refund";
    }

    TEST(TokenBucketTest, RefundsOnce)
    {
        auto bucket = bucketWith(100);
        const auto id = charge(bucket, 60);
        EXPECT_EQ(refund(bucket, *id, 40), 40);
        EXPECT_EQ(refund(bucket, *id, 40), 0);
    }

    TEST(TokenBucketTest, DoesNotRefillForTokensThatAPeerMayStillSpend)
    {
        auto bucket = bucketWith(100);
        chargeHeld(bucket, 40, at(1));
        refill(bucket, rate, at(1));
        EXPECT_DOUBLE_EQ(bucket.m_tokens, 60);
        refill(bucket, rate, at(2));
        EXPECT_DOUBLE_EQ(bucket.m_tokens, 70) << "expected the refill to go on after the hold";
    }

    RC_GTEST_PROP(TokenBucketTest, ChargesLessRefundsStayWithinBurstAndRate,
        (const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>>& steps))
    {
        auto bucket = TokenBucket();
        auto log = ChargeLog();
        auto seconds = 0.0;
        for (const auto& [action, wait, amount] : steps) {
            seconds += wait / 16.0;
            refill(bucket, rate, at(seconds));
            const auto id = action % 3 == 0 ? charge(bucket, amount) : std::nullopt;
            if (id)
                log.charge(*id, seconds, amount);
            else if (action % 3 == 1)
                log.refund(action,
                    [&bucket, tokens = amount](ChargeId charge) { return refund(bucket, charge, tokens); });
        }
        RC_ASSERT(log.excess(rate.m_tokensPerSecond, rate.m_burstTokens) <= 1e-6);
    }

} // namespace
} // namespace marigoldladder
