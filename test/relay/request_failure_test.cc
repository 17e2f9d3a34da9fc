#include "relay/request_failure.h"

#include "relay/relay_fixtures.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    class RequestFailureTest : public testing::Test {
    protected:
        // Returns the failure at 1 s of a request with its deadline at 5 s.
        auto failureInTime() -> Failure { return failureAfter(m_attempts, at(5), at(1), m_random); }

        // Returns the failure at the deadline.
        auto failureAtDeadline() -> Failure { return failureAfter(m_attempts, at(5), at(5), m_random); }

        RequestAttempts m_attempts;
        std::mt19937 m_random;
    };

    TEST_F(RequestFailureTest, ARequestThatMayHaveRunIsNeverCalledNotRun)
    {
        m_attempts.m_runs = 1;
        m_attempts.m_refusal = refusal(FailureType::Unavailable, "upstreams crash", Milliseconds(1'000));
        EXPECT_EQ(failureInTime().m_verdict, Verdict::MayHaveRun);
        EXPECT_EQ(failureInTime().m_type, FailureType::UpstreamFailed);
        EXPECT_EQ(failureAtDeadline().m_verdict, Verdict::MayHaveRun);
        EXPECT_EQ(failureAtDeadline().m_type, FailureType::DeadlineExceeded);
    }

    TEST_F(RequestFailureTest, ARequestThatWasNotRunIsToldWhenToComeBack)
    {
        m_attempts.m_lastOutcome = ChoiceOutcome::Full;
        EXPECT_EQ(failureInTime().m_verdict, Verdict::NotRun);
        EXPECT_EQ(failureInTime().m_type, FailureType::Unavailable);
        EXPECT_GT(failureInTime().m_retryAfter, Milliseconds(0));
    }

    TEST_F(RequestFailureTest, TheReasonNotToSendTheRequestGoesBeforeTheLastChoice)
    {
        m_attempts.m_refusal = refusal(FailureType::Unavailable, "upstreams crash", Milliseconds(7'000));
        EXPECT_EQ(failureInTime().m_message, "upstreams crash");
        EXPECT_EQ(failureInTime().m_retryAfter, Milliseconds(7'000));
    }

    TEST_F(RequestFailureTest, CallersOfPausedUpstreamsReturnAfterThePauseAndNotAllAtOnce)
    {
        m_attempts.m_lastOutcome = ChoiceOutcome::Paused;
        m_attempts.m_retryAt = at(3);
        auto earliest = Milliseconds::max();
        auto latest = Milliseconds(0);
        for (auto caller = 0; caller < 100; ++caller) {
            const auto retryAfter = failureInTime().m_retryAfter;
            earliest = std::min(earliest, retryAfter);
            latest = std::max(latest, retryAfter);
        }
        EXPECT_GT(earliest, Milliseconds(2'000));
        EXPECT_LE(latest, Milliseconds(3'000));
        EXPECT_GT(latest - earliest, Milliseconds(500));
    }

} // namespace
} // namespace marigoldladder::relay
