#include "routing/ramp.h"

#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    constexpr auto start = MonotonicTime(std::chrono::hours(1));
    constexpr auto usualDelay = 0.01;

    // A ramp whose upstream has served so many calls.
    auto warmRamp(int calls, const std::string& bootId) -> Ramp
    {
        auto ramp = makeRamp({});
        for (auto i = 0; i < calls; ++i) {
            const auto epoch = rampStarted(ramp, 1, start);
            rampAnswered(ramp, epoch, bootId, usualDelay);
            rampSucceeded(ramp, epoch);
        }
        return ramp;
    }

    TEST(RampTest, StartsLowAndGrowsWithSuccessesUpToTheCap)
    {
        EXPECT_EQ(rampLimit(makeRamp({})), 2U);
        EXPECT_EQ(rampLimit(warmRamp(4, "a")), 4U);
        EXPECT_EQ(rampLimit(warmRamp(1000, "a")), 16U);
    }

    TEST(RampTest, StartsAgainWhenTheUpstreamNamesAnotherRun)
    {
        auto ramp = warmRamp(100, "a");
        EXPECT_TRUE(rampAnswered(ramp, ramp.m_epoch, "b", usualDelay));
        EXPECT_EQ(rampLimit(ramp), 2U);
    }

    TEST(RampTest, StartsAgainWhenACallBreaks)
    {
        auto ramp = warmRamp(100, "a");
        rampBroken(ramp, ramp.m_epoch);
        EXPECT_EQ(rampLimit(ramp), 2U);
    }

    TEST(RampTest, TrustsARunThatOnlyLostAConnectionAsBefore)
    {
        auto ramp = warmRamp(100, "a");
        rampBroken(ramp, ramp.m_epoch);
        EXPECT_FALSE(rampAnswered(ramp, ramp.m_epoch, "a", usualDelay));
        EXPECT_EQ(rampLimit(ramp), 16U);
    }

    TEST(RampTest, TrustsNoOtherRunAsTheOneBefore)
    {
        auto ramp = warmRamp(100, "a");
        rampBroken(ramp, ramp.m_epoch);
        EXPECT_TRUE(rampAnswered(ramp, ramp.m_epoch, "b", usualDelay));
        rampBroken(ramp, ramp.m_epoch);
        rampAnswered(ramp, ramp.m_epoch, "b", usualDelay);
        EXPECT_EQ(rampLimit(ramp), 2U);
    }

    TEST(RampTest, IgnoresResultsOfCallsFromBeforeItStartedAgain)
    {
        auto ramp = warmRamp(100, "a");
        const auto old = ramp.m_epoch;
        rampBroken(ramp, old);
        for (auto i = 0; i < 20; ++i)
            rampSucceeded(ramp, old);
        EXPECT_FALSE(rampAnswered(ramp, old, "c", usualDelay));
        EXPECT_EQ(rampLimit(ramp), 2U);
    }

    TEST(RampTest, ProbesAfterStandingIdleUntilTheRunIsConfirmed)
    {
        auto ramp = warmRamp(100, "a");
        rampIdle(ramp, start);
        const auto epoch = rampStarted(ramp, 0, start);
        EXPECT_EQ(rampLimit(ramp), 2U);
        rampAnswered(ramp, epoch, "a", usualDelay);
        EXPECT_EQ(rampLimit(ramp), 16U);
    }

    TEST(RampTest, CountsAnUpstreamThatNamesNoRunAsColdAfterStandingIdle)
    {
        auto ramp = warmRamp(100, "");
        rampIdle(ramp, start);
        const auto epoch = rampStarted(ramp, 0, start + coldAfterIdle);
        rampAnswered(ramp, epoch, "", usualDelay);
        EXPECT_EQ(rampLimit(ramp), 2U);
    }

    TEST(RampTest, HalvesWhenTheUpstreamIsOverloaded)
    {
        auto ramp = warmRamp(100, "a");
        rampOverloaded(ramp, ramp.m_epoch);
        EXPECT_EQ(rampLimit(ramp), 8U);
        for (auto i = 0; i < 10; ++i)
            rampOverloaded(ramp, ramp.m_epoch);
        EXPECT_EQ(rampLimit(ramp), 1U);
    }

    TEST(RampTest, HalvesOnAStepOfTheDelay)
    {
        auto ramp = warmRamp(100, "a");
        for (auto i = 0; i < 5; ++i)
            rampAnswered(ramp, ramp.m_epoch, "a", 30 * usualDelay);
        EXPECT_LE(rampLimit(ramp), 8U);
    }

} // namespace
} // namespace marigoldladder
