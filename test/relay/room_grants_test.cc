#include "relay/room_grants.h"

#include "relay/relay_fixtures.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    constexpr auto slots = std::size_t { 4 };
    constexpr auto reportDelay = Milliseconds(300);
    constexpr auto interval = Milliseconds(200); // Between refusals.
    constexpr auto quickWork = Milliseconds(10);
    constexpr auto asker = std::uint64_t { 7 };

    // The owner of an upstream's room, which knows all that is in flight.
    class RoomGrantsTest : public testing::Test {
    protected:
        auto own(std::size_t inFlight = 0) -> void
        {
            m_state = { slots, inFlight, reportDelay, interval };
            setRoomOwned(m_ledger, true, reportDelay, m_now);
            m_now += reportDelay;
        }

        auto ask() -> RoomAnswer { return grantRoom(m_ledger, m_state, { asker, ++m_number }, m_now); }

        auto isGranted() -> bool
        {
            const auto granted = ask().m_outcome == RoomOutcome::Granted;
            m_state.m_inFlight += granted ? 1 : 0;
            return granted;
        }

        auto end(std::uint64_t number, RoomEnd end) -> void
        {
            endGrant(m_ledger, { asker, number }, end, m_now);
            --m_state.m_inFlight;
        }

        // Has the upstream take as many requests at a time as there are slots, until they end.
        auto fill() -> void
        {
            for (auto number = std::size_t { 0 }; number < slots; ++number) {
                EXPECT_TRUE(isGranted());
                m_now += Milliseconds(400);
            }
        }

        MonotonicTime m_now { std::chrono::hours(1) };
        RoomLedger m_ledger;
        RoomState m_state;
        std::uint64_t m_number = 0;
    };

    TEST_F(RoomGrantsTest, ANodeThatDoesNotOwnTheRoomGrantsNone)
    {
        EXPECT_EQ(ask().m_outcome, RoomOutcome::NotOwner);
    }

    TEST_F(RoomGrantsTest, ANewOwnerWaitsForTheNodesReports)
    {
        setRoomOwned(m_ledger, true, reportDelay, m_now);
        const auto answer = ask();
        EXPECT_EQ(answer.m_outcome, RoomOutcome::Full);
        EXPECT_EQ(answer.m_retryAfter, reportDelay);
    }

    TEST_F(RoomGrantsTest, RoomThatWasNotSeenYetIsTriedAtABoundedRate)
    {
        own();
        EXPECT_TRUE(isGranted());
        for (auto tried = 0; tried < 2; ++tried) {
            EXPECT_FALSE(isGranted());
            m_now += interval;
            EXPECT_TRUE(isGranted());
        }
    }

    TEST_F(RoomGrantsTest, RoomThatWasTakenIsGrantedAtOnceAgain)
    {
        own();
        fill();
        EXPECT_FALSE(isGranted()) << "expected no more than the slots";
        for (auto number = std::uint64_t { 1 }; number <= slots; ++number)
            end(number, RoomEnd::Taken);
        for (auto number = std::size_t { 0 }; number < slots; ++number)
            EXPECT_TRUE(isGranted());
        EXPECT_FALSE(isGranted());
    }

    TEST_F(RoomGrantsTest, AShortRequestShowsRoomByItsEnd)
    {
        own();
        EXPECT_TRUE(isGranted());
        m_now += interval;
        EXPECT_TRUE(isGranted());
        m_now += quickWork;
        end(2, RoomEnd::Taken);
        EXPECT_TRUE(isGranted());
    }

    TEST_F(RoomGrantsTest, ARefusalClosesTheUpstreamForLongerEachTime)
    {
        own();
        EXPECT_TRUE(isGranted());
        m_now += interval;
        auto closedFor = std::vector<Milliseconds>();
        for (auto refusal = 0; refusal < 3; ++refusal) {
            EXPECT_TRUE(isGranted());
            end(m_number, RoomEnd::Refused);
            closedFor.push_back(ask().m_retryAfter);
            m_now += closedFor.back();
        }
        EXPECT_EQ(closedFor, (std::vector { interval, interval * 2, interval * 4 }));
    }

    TEST_F(RoomGrantsTest, RequestsThatFormerOwnersGrantedTakeRoom)
    {
        own(slots);
        EXPECT_FALSE(isGranted());
        m_state.m_inFlight = 0;
        EXPECT_TRUE(isGranted());
    }

    TEST_F(RoomGrantsTest, AGrantWhoseEndWasNotReportedEndsByTheNodesReports)
    {
        own();
        fill();
        EXPECT_FALSE(isGranted());
        --m_state.m_inFlight;
        EXPECT_TRUE(isGranted());
    }

    TEST_F(RoomGrantsTest, TheGrantsOfANodeThatIsGoneEnd)
    {
        own();
        fill();
        keepGrantsOf(m_ledger, { asker });
        EXPECT_EQ(m_ledger.m_grants.size(), slots);
        keepGrantsOf(m_ledger, { asker + 1 });
        EXPECT_TRUE(m_ledger.m_grants.empty());
    }

    TEST_F(RoomGrantsTest, RequestsThatFindNoRoomAreToldDifferentTimes)
    {
        own();
        fill();
        const auto first = ask().m_retryAfter;
        const auto second = ask().m_retryAfter;
        EXPECT_LT(first, second);
    }

    TEST_F(RoomGrantsTest, AnUnknownEndHasNoEffect)
    {
        own();
        EXPECT_TRUE(isGranted());
        endGrant(m_ledger, { asker + 1, m_number }, RoomEnd::Refused, m_now);
        EXPECT_EQ(m_ledger.m_grants.size(), 1U);
        EXPECT_EQ(m_ledger.m_closedUntil, MonotonicTime());
    }

} // namespace
} // namespace marigoldladder::relay
