// Waiting before the platform is called again.
#include "objects/backoff.h"

#include <gtest/gtest.h>
#include <set>

namespace marigoldladder {
namespace {

    TEST(BackoffTest, WaitsLongerUpToItsBoundAndStartsAnewAfterASuccess)
    {
        auto random = std::mt19937_64(1);
        auto backoff = Backoff();
        EXPECT_LE(waitAfterFailure(backoff, random), backoff.m_first);
        auto longest = std::chrono::milliseconds(0);
        for (auto i = 0; i < 200; ++i)
            longest = std::max(longest, waitAfterFailure(backoff, random));
        EXPECT_LE(longest, backoff.m_most);
        EXPECT_GT(longest, backoff.m_most / 2);
        noteSuccess(backoff);
        EXPECT_LE(waitAfterFailure(backoff, random), backoff.m_first);
    }

    TEST(BackoffTest, SpreadsNodesThatFailedTogether)
    {
        auto waits = std::set<std::chrono::milliseconds>();
        for (auto seed = 0U; seed < 350; ++seed) {
            auto random = std::mt19937_64(seed);
            auto backoff = Backoff { .m_failures = 10 };
            waits.insert(waitAfterFailure(backoff, random));
        }
        EXPECT_GT(waits.size(), 280U) << "expected 350 nodes to come back at many different moments";
        EXPECT_LT(*waits.begin(), std::chrono::milliseconds(300));
    }

} // namespace
} // namespace marigoldladder
