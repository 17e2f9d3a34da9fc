#include "relay/request_attempts.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    constexpr auto maxRuns = std::size_t { 2 };

    auto routeOf(CallKind kind) -> Route
    {
        auto route = Route();
        route.m_kind = kind;
        route.m_maxUpstreams = maxRuns;
        return route;
    }

    // Counts a call that ended in time, and returns why no further one may follow.
    auto endAfterCall(RequestAttempts& attempts, UpstreamCallOutcome outcome, CallKind kind)
        -> std::optional<AttemptsEnd>
    {
        ++attempts.m_sends;
        attempts.m_needs.m_tried.push_back(nullptr);
        countCall(attempts, outcome, false);
        return endAfter(attempts, outcome, routeOf(kind), false);
    }

    TEST(RequestAttemptsTest, ARequestThatWasRefusedGoesOnThoughItMayRunOnlyOnce)
    {
        auto attempts = RequestAttempts();
        EXPECT_FALSE(endAfterCall(attempts, UpstreamCallOutcome::Refused, CallKind::AtMostOnce));
        EXPECT_EQ(attempts.m_runs, 0U);
        EXPECT_EQ(attempts.m_sends, 1U);
    }

    TEST(RequestAttemptsTest, ACallThatWasNotReachedCountsNeitherAsSentNorAsRun)
    {
        auto attempts = RequestAttempts();
        EXPECT_FALSE(endAfterCall(attempts, UpstreamCallOutcome::NotReached, CallKind::AtMostOnce));
        EXPECT_EQ(attempts.m_runs, 0U);
        EXPECT_EQ(attempts.m_sends, 0U);
    }

    TEST(RequestAttemptsTest, AfterEveryLostAnswerARequestThatMayRunOnceEnds)
    {
        for (const auto outcome :
            { UpstreamCallOutcome::Failed, UpstreamCallOutcome::Broken, UpstreamCallOutcome::Interrupted,
                UpstreamCallOutcome::TimedOut, UpstreamCallOutcome::TakenBack }) {
            auto attempts = RequestAttempts();
            EXPECT_EQ(endAfterCall(attempts, outcome, CallKind::AtMostOnce), AttemptsEnd::NotRepeatable)
                << nameOf(upstreamCallOutcomeNames, outcome);
            EXPECT_EQ(attempts.m_runs, 1U);
        }
    }

    TEST(RequestAttemptsTest, AnIdempotentRequestRunsOnNoMoreUpstreamsThanItsRouteAllows)
    {
        auto attempts = RequestAttempts();
        EXPECT_FALSE(endAfterCall(attempts, UpstreamCallOutcome::Broken, CallKind::Idempotent));
        EXPECT_EQ(endAfterCall(attempts, UpstreamCallOutcome::Broken, CallKind::Idempotent),
            AttemptsEnd::AttemptsSpent);
    }

    TEST(RequestAttemptsTest, RefusalsEndOnceFourUpstreamsWereTried)
    {
        auto attempts = RequestAttempts();
        for (auto call = 0; call < 3; ++call)
            EXPECT_FALSE(endAfterCall(attempts, UpstreamCallOutcome::Refused, CallKind::Idempotent));
        EXPECT_EQ(endAfterCall(attempts, UpstreamCallOutcome::Refused, CallKind::Idempotent),
            AttemptsEnd::RefusalsSpent);
    }

    TEST(RequestAttemptsTest, NoFurtherCallFollowsAfterTheDeadline)
    {
        for (const auto outcome : { UpstreamCallOutcome::Refused, UpstreamCallOutcome::NotReached,
                 UpstreamCallOutcome::Broken, UpstreamCallOutcome::TimedOut }) {
            auto attempts = RequestAttempts();
            countCall(attempts, outcome, true);
            EXPECT_EQ(endAfter(attempts, outcome, routeOf(CallKind::Idempotent), true),
                AttemptsEnd::DeadlineReached)
                << nameOf(upstreamCallOutcomeNames, outcome);
        }
    }

} // namespace
} // namespace marigoldladder::relay
