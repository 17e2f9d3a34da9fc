#include "relay/upstream_notices.h"

#include "relay/relay_fixtures.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    auto limitedTo(double requestsPerSecond) -> UpstreamNotices
    {
        auto notices = UpstreamNotices();
        notices.m_requestLimit = requestsPerSecond;
        return notices;
    }

    TEST(UpstreamNoticesTest, AnAnswerWithoutALimitEndsIt)
    {
        auto board = RelayBoard();
        auto upstream = Upstream();
        applyRequestAnswerNotices(board, upstream, limitedTo(2), at(1), at(1.1));
        EXPECT_TRUE(isLimited(upstream.m_requestLimit));
        applyRequestAnswerNotices(board, upstream, {}, at(2), at(2.1));
        EXPECT_FALSE(isLimited(upstream.m_requestLimit));
    }

    // Guards against bursts to a limited upstream when an answer from before the limit arrives late.
    TEST(UpstreamNoticesTest, AnAnswerToARequestSentBeforeTheLimitWasNamedDoesNotEndIt)
    {
        auto board = RelayBoard();
        auto upstream = Upstream();
        applyRequestAnswerNotices(board, upstream, limitedTo(2), at(1), at(1.1));
        applyRequestAnswerNotices(board, upstream, {}, at(0.9), at(1.2));
        EXPECT_TRUE(isLimited(upstream.m_requestLimit));
    }

    TEST(UpstreamNoticesTest, AReportWithoutALimitDoesNotEndIt)
    {
        auto board = RelayBoard();
        auto upstream = Upstream();
        applyNotices(board, upstream, limitedTo(2), at(1));
        applyNotices(board, upstream, {}, at(2));
        EXPECT_TRUE(isLimited(upstream.m_requestLimit));
    }

    TEST(UpstreamNoticesTest, AShorterPauseDoesNotEndALongerOne)
    {
        auto board = RelayBoard();
        auto upstream = Upstream();
        auto notices = UpstreamNotices();
        notices.m_retryAfter = Milliseconds(5'000);
        applyNotices(board, upstream, notices, at(1));
        notices.m_retryAfter = Milliseconds(1'000);
        applyNotices(board, upstream, notices, at(2));
        EXPECT_EQ(upstream.m_pausedUntil, at(6));
    }

} // namespace
} // namespace marigoldladder::relay
