#include "routing/resolve.h"

#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    constexpr auto start = MonotonicTime(std::chrono::hours(1));
    const auto id = RequestId("booking-17");

    TEST(ResolveTest, RefusesFromThenOnWhatItNeverSaw)
    {
        auto log = AttemptLog();
        EXPECT_EQ(resolveAttempt(log, id, start), Verdict::NotRun);
        EXPECT_EQ(enterAttempt(log, id, start), AttemptState::Dead);
    }

    TEST(ResolveTest, KnowsADoubledTry)
    {
        auto log = AttemptLog();
        EXPECT_FALSE(enterAttempt(log, id, start));
        EXPECT_EQ(enterAttempt(log, id, start), AttemptState::Waiting);
    }

    TEST(ResolveTest, TellsWhatBecameOfATry)
    {
        auto log = AttemptLog();
        enterAttempt(log, id, start);
        EXPECT_EQ(resolveAttempt(log, id, start), Verdict::MayHaveRun) << "as it waits";
        noteAttempt(log, id, AttemptState::Started);
        EXPECT_EQ(resolveAttempt(log, id, start), Verdict::MayHaveRun) << "as it runs";
        noteAttempt(log, id, AttemptState::Ended);
        EXPECT_EQ(resolveAttempt(log, id, start), Verdict::MayHaveRun) << "as it ended";
        noteAttempt(log, id, AttemptState::EndedNotRun);
        EXPECT_EQ(resolveAttempt(log, id, start), Verdict::NotRun) << "as it was refused";
    }

    TEST(ResolveTest, ProvesNothingAfterForgettingWhatMayStillRun)
    {
        auto log = AttemptLog();
        log.m_bound = 2;
        for (const auto* name : { "1", "2", "3" })
            enterAttempt(log, RequestId(name), start);
        EXPECT_EQ(resolveAttempt(log, RequestId("1"), start), Verdict::MayHaveRun);
        EXPECT_EQ(resolveAttempt(log, RequestId("4"), start + longestAttempt), Verdict::NotRun);
    }

} // namespace
} // namespace marigoldladder
