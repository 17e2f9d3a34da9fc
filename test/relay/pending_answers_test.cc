#include "relay/pending_answers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    class PendingAnswersTest : public testing::Test {
    protected:
        // Starts to wait for the answer; the result is set once the wait has ended.
        auto startWait(std::uint64_t number, std::chrono::milliseconds timeout, std::optional<int>& result)
            -> void
        {
            net::co_spawn(m_context, m_pending.waitFor(number, timeout),
                [this, &result](const std::exception_ptr&, std::optional<int> answer) {
                    result = answer;
                    ++m_ended;
                });
            m_context.restart();
            m_context.poll();
        }

        auto finishWaits() -> void
        {
            m_context.restart();
            m_context.run();
        }

        net::io_context m_context;
        PendingAnswers<int> m_pending { 7 };
        int m_ended = 0;
    };

    constexpr auto longTimeout = std::chrono::milliseconds(60'000);

    TEST_F(PendingAnswersTest, NumbersFollowTheLastOneGiven)
    {
        EXPECT_EQ(m_pending.nextNumber(), 8U);
        EXPECT_EQ(m_pending.nextNumber(), 9U);
    }

    TEST_F(PendingAnswersTest, EachRequestGetsTheAnswerWithItsNumber)
    {
        auto first = std::optional<int>();
        auto second = std::optional<int>();
        startWait(1, longTimeout, first);
        startWait(2, longTimeout, second);
        EXPECT_EQ(m_ended, 0);
        m_pending.receive(2, 20);
        m_pending.receive(1, 10);
        finishWaits();
        EXPECT_EQ(m_ended, 2);
        EXPECT_EQ(first, 10);
        EXPECT_EQ(second, 20);
    }

    TEST_F(PendingAnswersTest, AnAnswerAfterTheTimeoutOrToNoRequestIsIgnored)
    {
        auto answer = std::optional<int>();
        startWait(1, std::chrono::milliseconds(1), answer);
        m_pending.receive(2, 20);
        finishWaits();
        EXPECT_EQ(m_ended, 1);
        EXPECT_EQ(answer, std::nullopt);
        m_pending.receive(1, 10);
        EXPECT_EQ(answer, std::nullopt);
    }

    // An answer to a request that was sent twice.
    TEST_F(PendingAnswersTest, ARequestMayWaitAgainAfterATimeout)
    {
        auto answer = std::optional<int>();
        startWait(1, std::chrono::milliseconds(1), answer);
        finishWaits();
        startWait(1, longTimeout, answer);
        m_pending.receive(1, 10);
        finishWaits();
        EXPECT_EQ(answer, 10);
    }

} // namespace
} // namespace marigoldladder::relay
