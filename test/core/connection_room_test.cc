#include "core/connection_room.h"

#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    constexpr auto freeBytes = freeBytesOfConnection;
    constexpr auto budgetBytes = std::size_t { 1'000 };
    constexpr auto maxConnections = std::size_t { 2 };

    constexpr auto smallBounds = ConnectionBounds { maxConnections, budgetBytes };

    class ConnectionRoomTest : public testing::Test {
    protected:
        // A connection whose phase began so many seconds after the start.
        struct Caller {
            Caller(ConnectionRoom& room, ConnectionPhase phase, int since)
                : m_room(room)
                , m_place(room.budget())
            {
                m_place.m_phase = phase;
                m_place.m_since = std::chrono::steady_clock::time_point(std::chrono::seconds(since));
                m_place.m_giveUp = [this] { ++m_refusals; };
                m_place.m_close = [this] { m_isClosed = true; };
                m_room.add(m_place);
            }
            ~Caller() { m_room.remove(m_place); }
            Caller(const Caller&) = delete;
            auto operator=(const Caller&) -> Caller& = delete;

            auto reserve(std::size_t beyondFree) -> bool
            {
                return m_room.reserve(m_place, freeBytes + beyondFree);
            }

            ConnectionRoom& m_room;
            ConnectionPlace m_place;
            int m_refusals = 0;
            bool m_isClosed = false;
        };

        ConnectionRoom m_room { smallBounds };
    };

    TEST_F(ConnectionRoomTest, ASmallRequestFindsRoomHoweverMuchOthersHold)
    {
        auto large = Caller(m_room, ConnectionPhase::Running, 1);
        auto small = Caller(m_room, ConnectionPhase::Reading, 2);
        EXPECT_TRUE(large.reserve(budgetBytes));
        EXPECT_TRUE(m_room.reserve(small.m_place, freeBytes));
        EXPECT_FALSE(small.reserve(1));
    }

    TEST_F(ConnectionRoomTest, TheRequestThatHasBeenArrivingForLongestYields)
    {
        auto older = Caller(m_room, ConnectionPhase::Reading, 2);
        auto oldest = Caller(m_room, ConnectionPhase::Reading, 1);
        auto newest = Caller(m_room, ConnectionPhase::Reading, 3);
        EXPECT_TRUE(older.reserve(500));
        EXPECT_TRUE(oldest.reserve(500));
        EXPECT_TRUE(newest.reserve(300));
        EXPECT_EQ(oldest.m_refusals, 1);
        EXPECT_EQ(older.m_refusals, 0);
        EXPECT_EQ(oldest.m_place.m_memory.bytes(), 0U);
    }

    TEST_F(ConnectionRoomTest, TheOldestRequestGetsNothingOfNewerOnes)
    {
        auto oldest = Caller(m_room, ConnectionPhase::Reading, 1);
        auto newer = Caller(m_room, ConnectionPhase::Reading, 2);
        EXPECT_TRUE(oldest.reserve(100));
        EXPECT_TRUE(newer.reserve(900));
        EXPECT_FALSE(oldest.reserve(101));
        EXPECT_EQ(newer.m_refusals, 0);
        EXPECT_EQ(oldest.m_place.m_memory.bytes(), 100U);
    }

    // It was passed on, so that it can't be refused as not run.
    TEST_F(ConnectionRoomTest, ARunningRequestYieldsToNobody)
    {
        auto running = Caller(m_room, ConnectionPhase::Running, 1);
        auto newer = Caller(m_room, ConnectionPhase::Reading, 2);
        EXPECT_TRUE(running.reserve(budgetBytes));
        EXPECT_FALSE(newer.reserve(1));
        EXPECT_EQ(running.m_refusals, 0);
    }

    TEST_F(ConnectionRoomTest, AnAnswerThatItsCallerDoesNotTakeYields)
    {
        auto unread = Caller(m_room, ConnectionPhase::Answering, 1);
        auto newer = Caller(m_room, ConnectionPhase::Reading, 2);
        EXPECT_TRUE(unread.reserve(budgetBytes));
        EXPECT_TRUE(newer.reserve(budgetBytes));
        EXPECT_EQ(unread.m_refusals, 1);
    }

    TEST_F(ConnectionRoomTest, WhatAConnectionHeldIsGivenBackAtItsEnd)
    {
        {
            auto gone = Caller(m_room, ConnectionPhase::Running, 1);
            EXPECT_TRUE(gone.reserve(budgetBytes));
        }
        auto next = Caller(m_room, ConnectionPhase::Reading, 2);
        EXPECT_TRUE(next.reserve(budgetBytes));
    }

    TEST_F(ConnectionRoomTest, AConnectionIsClosedForAnotherOnlyAtTheBound)
    {
        auto first = Caller(m_room, ConnectionPhase::Idle, 1);
        EXPECT_TRUE(m_room.makeRoomForConnection());
        EXPECT_FALSE(first.m_isClosed);
    }

    TEST_F(ConnectionRoomTest, AConnectionThatNeverBroughtARequestIsClosedBeforeOneThatDid)
    {
        auto known = Caller(m_room, ConnectionPhase::Idle, 1);
        known.m_place.m_hasServed = true;
        auto unknown = Caller(m_room, ConnectionPhase::Reading, 2);
        EXPECT_TRUE(m_room.makeRoomForConnection());
        EXPECT_TRUE(unknown.m_isClosed);
        EXPECT_FALSE(known.m_isClosed);
        EXPECT_EQ(m_room.connections(), 1U);
    }

    TEST_F(ConnectionRoomTest, TheConnectionThatHasWaitedForLongestIsClosedFirst)
    {
        auto newer = Caller(m_room, ConnectionPhase::Idle, 2);
        auto older = Caller(m_room, ConnectionPhase::Idle, 1);
        EXPECT_TRUE(m_room.makeRoomForConnection());
        EXPECT_TRUE(older.m_isClosed);
        EXPECT_FALSE(newer.m_isClosed);
    }

    TEST_F(ConnectionRoomTest, NoConnectionIsClosedWhileItsRequestRuns)
    {
        auto first = Caller(m_room, ConnectionPhase::Running, 1);
        auto second = Caller(m_room, ConnectionPhase::Running, 2);
        EXPECT_FALSE(m_room.makeRoomForConnection());
        EXPECT_FALSE(first.m_isClosed || second.m_isClosed);
    }

} // namespace
} // namespace marigoldladder
