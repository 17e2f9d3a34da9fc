#include "relay/request_log.h"

#include "relay/relay_fixtures.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    TEST(RequestLogTest, LimitsLinesUnderLoadAndCountsSuppressedOnes)
    {
        auto budget = LogLineBudget();
        auto written = 0;
        constexpr auto offered = 20'000;
        for (auto line = 0; line < offered; ++line)
            written += tryAcquireLine(budget, at(line * 0.0005)) ? 1 : 0;
        EXPECT_LE(written, 100 + 20 * 10 + 1)
            << "expected at most a burst of 100 lines and 20 lines a second for 10 s";
        EXPECT_EQ(budget.m_suppressed, static_cast<std::uint64_t>(offered - written));
    }

    TEST(RequestLogTest, AllNodesSampleTheSameRequests)
    {
        auto sampled = 0;
        for (auto number = 0; number < 6'400; ++number)
            sampled += isSampled("request-" + std::to_string(number)) ? 1 : 0;
        EXPECT_GT(sampled, 50);
        EXPECT_LT(sampled, 200);
        EXPECT_EQ(isSampled("request-1"), isSampled("request-1"));
    }

} // namespace
} // namespace marigoldladder::relay
