#include "routing/load_backoff.h"
#include "routing/load_budget.h"

#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    using namespace std::chrono_literals;

    constexpr auto start = MonotonicTime(std::chrono::hours(1));
    constexpr auto limits = WeightStoreLimits { 4, 8 };

    class LoadShareTest : public ::testing::TestWithParam<std::size_t> { };

    TEST_P(LoadShareTest, SumsToTheStoresLimitsOverAllNodes)
    {
        auto inFlight = std::size_t { 0 };
        auto rate = 0.0;
        for (auto rank = std::size_t { 0 }; rank < GetParam(); ++rank) {
            inFlight += loadShareOf(limits, GetParam(), rank).m_inFlight;
            rate += loadShareOf(limits, GetParam(), rank).m_loadsPerSecond;
        }
        EXPECT_EQ(inFlight, limits.m_maxInFlight);
        EXPECT_NEAR(rate, limits.m_loadsPerSecond, 1e-9);
    }

    INSTANTIATE_TEST_SUITE_P(Fleets, LoadShareTest, ::testing::Values(1, 2, 8, 9, 350));

    TEST(LoadShareStateTest, ShrinksAtOnceAndGrowsLate)
    {
        auto state = followLoadShare({ { 4, 8 }, { 4, 8 }, start }, { 2, 4 }, start + 1s);
        EXPECT_EQ(state.m_inForce.m_inFlight, 4U);
        state = followLoadShare(state, { 4, 8 }, start + 2s);
        EXPECT_EQ(state.m_inForce.m_inFlight, 4U);
        state = followLoadShare(state, { 4, 8 }, start + 4s);
        EXPECT_EQ(state.m_inForce.m_inFlight, 8U);
    }

    TEST(LoadBudgetTest, KeepsToTheRateAndToTheLoadsInFlight)
    {
        auto budget = LoadBudget();
        const auto share = LoadShare { 1, 1 };
        EXPECT_TRUE(tryBeginLoad(budget, share, start));
        EXPECT_FALSE(tryBeginLoad(budget, share, start + 2s)) << "expected the first load to be in flight";
        endLoad(budget);
        EXPECT_TRUE(tryBeginLoad(budget, share, start + 2s));
        endLoad(budget);
        EXPECT_FALSE(tryBeginLoad(budget, share, start + 2s + 900ms)) << "expected one load a second";
    }

    TEST(LoadBudgetTest, CountsALoadWithoutAnswerAsRunning)
    {
        auto budget = LoadBudget();
        const auto share = LoadShare { 100, 1 };
        EXPECT_TRUE(tryBeginLoad(budget, share, start));
        endLoadInDoubt(budget, start + 100ms);
        EXPECT_FALSE(tryBeginLoad(budget, share, start + 5s));
        EXPECT_TRUE(tryBeginLoad(budget, share, start + 11s));
    }

    TEST(LoadBackoffTest, WaitsLongerAfterEachFailureUpToABound)
    {
        const auto once = afterFailedLoad({}, 1, start);
        const auto twice = afterFailedLoad(once, 1, start);
        EXPECT_GT(twice.m_notBefore, once.m_notBefore);
        const auto often = afterFailedLoad({ 100, start }, 1, start);
        EXPECT_LE(often.m_notBefore, start + 30s);
        EXPECT_LT(afterFailedLoad({}, 0, start).m_notBefore, once.m_notBefore) << "expected jitter";
    }

} // namespace
} // namespace marigoldladder
