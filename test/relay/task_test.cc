#include "relay/task.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <stdexcept>

namespace marigoldladder::relay {
namespace {

    class TaskTest : public testing::Test {
    protected:
        auto failures() const -> std::uint64_t { return m_metrics.value(Counter::InternalFailures); }

        auto throwTwiceThenReturn() -> Awaitable<void>
        {
            if (++m_runs <= 2)
                throw std::runtime_error("broken");
            co_return;
        }

        net::io_context m_context { 1 };
        Metrics m_metrics;
        int m_runs = 0;
    };

    TEST_F(TaskTest, ALoopBeginsAgainAfterEachException)
    {
        runLoop(m_context.get_executor(), "test", m_metrics, [this] { return throwTwiceThenReturn(); });
        m_context.run();
        EXPECT_EQ(m_runs, 3);
        EXPECT_EQ(failures(), 2U);
    }

    TEST_F(TaskTest, ALoopThatCannotBeginIsTriedAgain)
    {
        runLoop(m_context.get_executor(), "test", m_metrics, [this]() -> Awaitable<void> {
            if (++m_runs == 1)
                throw std::runtime_error("broken");
            return throwTwiceThenReturn();
        });
        m_context.run();
        EXPECT_EQ(m_runs, 3);
        EXPECT_EQ(failures(), 1U);
    }

    TEST_F(TaskTest, ALoopThatAlwaysThrowsLeavesTheNodeTime)
    {
        runLoop(m_context.get_executor(), "test", m_metrics, [this]() -> Awaitable<void> {
            ++m_runs;
            throw 7;
        });
        m_context.run_for(std::chrono::milliseconds(350));
        EXPECT_LE(m_runs, 4) << "expected 0.1 s between two runs";
    }

    TEST_F(TaskTest, AnExceptionThatEndsATaskIsCounted)
    {
        runTask(m_context.get_executor(), "test", m_metrics, throwTwiceThenReturn());
        m_context.run();
        EXPECT_EQ(m_runs, 1);
        EXPECT_EQ(failures(), 1U);
    }

    TEST_F(TaskTest, AnExceptionOfAFunctionThatRunsLaterIsCounted)
    {
        runAfter(m_context.get_executor(), "test", m_metrics, std::chrono::milliseconds(1),
            [] { throw std::runtime_error("broken"); });
        m_context.run();
        EXPECT_EQ(failures(), 1U);
    }

    TEST_F(TaskTest, AFlagIsTakenBackWhenAnExceptionEndsItsTask)
    {
        auto isBusy = false;
        auto wasBusy = false;
        const auto task = [&]() -> Awaitable<void> {
            const auto busy = RaisedFlag(isBusy);
            wasBusy = isBusy;
            co_await throwTwiceThenReturn();
        };
        runTask(m_context.get_executor(), "test", m_metrics, task());
        m_context.run();
        EXPECT_TRUE(wasBusy);
        EXPECT_FALSE(isBusy);
    }

} // namespace
} // namespace marigoldladder::relay
