#include "serving/retry_budget.h"

#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    TEST(RetryAccountTest, PaysForATenthOfTheSuccesses)
    {
        auto account = RetryAccount();
        while (takeRetry(account)) { }
        for (auto i = 0; i < 101; ++i)
            noteSuccess(account);
        auto taken = 0;
        while (takeRetry(account))
            ++taken;
        EXPECT_EQ(taken, 10);
    }

    TEST(RetryAccountTest, KeepsABoundedReserve)
    {
        auto account = RetryAccount();
        for (auto i = 0; i < 100'000; ++i)
            noteSuccess(account);
        auto taken = 0;
        while (takeRetry(account))
            ++taken;
        EXPECT_EQ(taken, 50);
    }

} // namespace
} // namespace marigoldladder
