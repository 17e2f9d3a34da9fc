#include "relay/calls_in_progress.h"

#include "relay/relay_fixtures.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    constexpr auto adapter = "model/a1";

    // A call to an engine, whose end of the connection is held here.
    struct Call {
        Call(net::io_context& context, CallsInProgress& calls, const std::string& name, std::uint64_t stated)
            : m_stream(context)
            , m_engine(context)
            , m_entry(calls, name, stated, m_stream, m_answerBegan)
        {
            auto acceptor = net::ip::tcp::acceptor(context, { net::ip::address_v4::loopback(), 0 });
            m_stream.socket().connect(acceptor.local_endpoint());
            acceptor.accept(m_engine);
        }

        tcp_stream m_stream;
        net::ip::tcp::socket m_engine;
        bool m_answerBegan = false;
        CallInProgress m_entry;
    };

    class CallsInProgressTest : public testing::Test {
    protected:
        // Version 2 is required now, and version 3 is announced.
        CallsInProgressTest()
        {
            (void)announceVersion(m_versions, { adapter, 2 }, at(4), at(0));
            (void)announceVersion(m_versions, { adapter, 3 }, at(6), at(2));
        }

        auto takeBack(MonotonicTime now = at(4)) -> void
        {
            takeBackOutdated(m_calls, m_versions, adapter, now);
        }

        net::io_context m_context;
        CallsInProgress m_calls;
        AdapterVersions m_versions;
    };

    TEST_F(CallsInProgressTest, TakesBackACallThatMayBeginOnAnOutdatedVersion)
    {
        auto any = Call(m_context, m_calls, adapter, 0);
        auto outdated = Call(m_context, m_calls, adapter, 1);
        takeBack(at(3.999));
        EXPECT_FALSE(any.m_entry.isTakenBack());
        takeBack();
        EXPECT_TRUE(any.m_entry.isTakenBack());
        EXPECT_TRUE(outdated.m_entry.isTakenBack());
        EXPECT_FALSE(any.m_stream.socket().is_open());
    }

    TEST_F(CallsInProgressTest, LeavesACallThatStatedAVersionThatMayBeUsed)
    {
        auto lowest = Call(m_context, m_calls, adapter, 2);
        auto newest = Call(m_context, m_calls, adapter, 3);
        takeBack();
        EXPECT_FALSE(lowest.m_entry.isTakenBack());
        EXPECT_TRUE(lowest.m_stream.socket().is_open());
        takeBack(at(6));
        EXPECT_TRUE(lowest.m_entry.isTakenBack());
        EXPECT_FALSE(newest.m_entry.isTakenBack());
    }

    TEST_F(CallsInProgressTest, LeavesCallsForOtherAdaptersAndForNone)
    {
        auto other = Call(m_context, m_calls, "model/a2", 0);
        auto none = Call(m_context, m_calls, "", 0);
        takeBack();
        EXPECT_FALSE(other.m_entry.isTakenBack());
        EXPECT_FALSE(none.m_entry.isTakenBack());
    }

    TEST_F(CallsInProgressTest, LeavesACallWhoseAnswerBeganOrHasArrived)
    {
        auto begun = Call(m_context, m_calls, adapter, 0);
        begun.m_answerBegan = true;
        auto arrived = Call(m_context, m_calls, adapter, 0);
        net::write(arrived.m_engine, net::buffer("HTTP", 4));
        arrived.m_stream.socket().wait(net::ip::tcp::socket::wait_read);
        takeBack();
        EXPECT_FALSE(begun.m_entry.isTakenBack());
        EXPECT_FALSE(arrived.m_entry.isTakenBack());
    }

    TEST_F(CallsInProgressTest, KnowsACallDuringItsLifetimeOnly)
    {
        {
            const auto call = Call(m_context, m_calls, adapter, 0);
            EXPECT_EQ(m_calls.size(), 1U);
        }
        EXPECT_TRUE(m_calls.empty());
        takeBack();
    }

} // namespace
} // namespace marigoldladder::relay
