#include "routing/load_backoff.h"
#include "routing/load_budget.h"

#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    using namespace std::chrono_literals;

    constexpr auto start = MonotonicTime(std::chrono::hours(1));
    constexpr auto limits = WeightStoreLimits { 4, 8 };

    class LoadShareTest : public ::testing::TestWithParam<std::vector<std::size_t>> { };

    TEST_P(LoadShareTest, SumsToTheStoresLimitsOverAllOwners)
    {
        auto counts = EngineCounts();
        for (const auto count : GetParam())
            counts.emplace(VmName("node-" + std::to_string(counts.size())), count);
        auto inFlight = std::size_t { 0 };
        for (const auto& [vm, count] : counts) {
            EXPECT_GE(loadShareOf(limits, counts, vm).m_inFlight, 1U) << "expected every owner to load";
            inFlight += loadShareOf(limits, counts, vm).m_inFlight;
        }
        EXPECT_EQ(inFlight, limits.m_maxInFlight);
    }

    using Counts = std::vector<std::size_t>;
    INSTANTIATE_TEST_SUITE_P(Fleets, LoadShareTest,
        ::testing::Values(Counts { 5 }, Counts { 10, 1, 1 }, Counts { 2, 2, 2, 2, 1, 1, 1, 1 },
            Counts { 3, 3, 3 }, Counts(8, 1250)));

    TEST(LoadShareLimitTest, GivesNothingToNodesWithoutEnginesOrBeyondTheLoads)
    {
        EXPECT_EQ(loadShareOf(limits, { { VmName("a"), 3 } }, VmName("b")).m_inFlight, 0U);
        auto counts = EngineCounts();
        for (auto i = 0; i < 9; ++i)
            counts.emplace(VmName("node-" + std::to_string(i)), 1);
        EXPECT_EQ(loadShareOf(limits, counts, VmName("node-8")).m_inFlight, 0U);
        auto inFlight = std::size_t { 0 };
        for (const auto& [vm, count] : counts)
            inFlight += loadShareOf(limits, counts, vm).m_inFlight;
        EXPECT_EQ(inFlight, limits.m_maxInFlight) << "expected loads to go on while owners hand over";
    }

    TEST(LoadShareStateTest, ShrinksAtOnceAndGrowsLate)
    {
        auto state = followLoadShare({ { 8 }, { 8 }, start }, { 4 }, start + 1s);
        EXPECT_EQ(state.m_inForce.m_inFlight, 4U);
        state = followLoadShare(state, { 8 }, start + 2s);
        EXPECT_EQ(state.m_inForce.m_inFlight, 4U);
        state = followLoadShare(state, { 8 }, start + 4s);
        EXPECT_EQ(state.m_inForce.m_inFlight, 8U);
    }

    TEST(LoadBudgetTest, KeepsToTheLoadsInFlight)
    {
        auto budget = LoadBudget();
        const auto share = LoadShare { 1 };
        EXPECT_TRUE(tryBeginLoad(budget, share, start));
        EXPECT_FALSE(tryBeginLoad(budget, share, start + 2s)) << "expected the first load to be in flight";
        endLoad(budget);
        EXPECT_TRUE(tryBeginLoad(budget, share, start + 2s));
    }

    TEST(LoadBudgetTest, CountsALoadWithoutAnswerAsRunning)
    {
        auto budget = LoadBudget();
        const auto share = LoadShare { 1 };
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
