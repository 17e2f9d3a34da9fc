#include "relay/retry_budget.h"

#include "relay/relay_fixtures.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    TEST(RetryBudgetTest, AllNodesTogetherKeepTheBound)
    {
        constexpr auto nodes = std::size_t { 8 };
        auto bounds = FleetBounds();
        bounds.m_retryExtra = 56;
        auto budgets = std::vector<RetryBudget>(nodes);
        auto retries = 0;
        constexpr auto requests = 100;
        for (auto step = 0; step < requests * static_cast<int>(nodes); ++step) {
            auto& budget = budgets[step % nodes];
            const auto now = at(step * 0.01);
            recordRequest(budget, PoolName("pool"), bounds, now);
            // Every request fails and would be retried.
            retries += tryAcquireRetry(budget, PoolName("pool"), bounds, nodes, now) ? 1 : 0;
        }
        EXPECT_LE(retries, bounds.m_retryRatio * requests * nodes + bounds.m_retryExtra);
        EXPECT_GE(retries, 0.5 * bounds.m_retryRatio * requests * nodes);
    }

    TEST(RetryBudgetTest, RetriesBeforeTheWindowNoLongerCount)
    {
        auto bounds = FleetBounds();
        bounds.m_retryExtra = 10;
        auto budget = RetryBudget();
        while (tryAcquireRetry(budget, PoolName("pool"), bounds, 1, at(0))) { }
        EXPECT_FALSE(tryAcquireRetry(budget, PoolName("pool"), bounds, 1, at(5)));
        EXPECT_TRUE(tryAcquireRetry(budget, PoolName("pool"), bounds, 1, at(11)));
    }

    TEST(RetryBudgetTest, ARetryThatWasNotSentIsAllowedAgain)
    {
        auto bounds = FleetBounds();
        bounds.m_retryExtra = 10;
        auto budget = RetryBudget();
        while (tryAcquireRetry(budget, PoolName("pool"), bounds, 1, at(0))) { }
        returnRetry(budget, PoolName("pool"), bounds, at(0));
        EXPECT_TRUE(tryAcquireRetry(budget, PoolName("pool"), bounds, 1, at(2)));
        EXPECT_FALSE(tryAcquireRetry(budget, PoolName("pool"), bounds, 1, at(2)));
    }

    TEST(RetryBudgetTest, ARetryReturnedAfterItsWindowChangesNothing)
    {
        auto bounds = FleetBounds();
        bounds.m_retryExtra = 10;
        auto budget = RetryBudget();
        EXPECT_TRUE(tryAcquireRetry(budget, PoolName("pool"), bounds, 1, at(0)));
        while (tryAcquireRetry(budget, PoolName("pool"), bounds, 1, at(10))) { }
        returnRetry(budget, PoolName("pool"), bounds, at(0));
        EXPECT_FALSE(tryAcquireRetry(budget, PoolName("pool"), bounds, 1, at(10)));
    }

} // namespace
} // namespace marigoldladder::relay
