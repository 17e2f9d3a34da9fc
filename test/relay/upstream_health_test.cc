#include "relay/upstream_health.h"

#include "relay/relay_fixtures.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    TEST(UpstreamHealthTest, AFewFailuresAmongManySuccessesChangeNothing)
    {
        auto health = UpstreamHealth();
        for (auto call = 0; call < 100; ++call)
            noteCallEnd(health, call % 7 == 0 ? CallEnd::Failed : CallEnd::Answered, at(call * 0.02));
        EXPECT_LE(health.m_avoidUntil, at(0)) << "one in seven fails by its nature";
    }

    TEST(UpstreamHealthTest, SilenceIsAvoidedAtOnceAndEachTimeForLonger)
    {
        auto health = UpstreamHealth();
        noteCallEnd(health, CallEnd::Silent, at(0));
        const auto first = health.m_avoidUntil - at(0);
        EXPECT_GT(health.m_avoidUntil, at(0));
        noteCallEnd(health, CallEnd::Silent, at(10));
        EXPECT_GT(health.m_avoidUntil - at(10), first);
    }

    TEST(UpstreamHealthTest, BrokenConnectionsInARowAreAvoided)
    {
        auto health = UpstreamHealth();
        noteCallEnd(health, CallEnd::Broken, at(0));
        noteCallEnd(health, CallEnd::Broken, at(0.1));
        EXPECT_GT(health.m_avoidUntil, at(0.1));
    }

    TEST(UpstreamHealthTest, AnUpstreamThatCannotBeReachedIsAvoidedWhateverItAnsweredBefore)
    {
        auto health = UpstreamHealth();
        for (auto call = 0; call < 50; ++call)
            noteCallEnd(health, CallEnd::Answered, at(call * 0.02));
        noteCallEnd(health, CallEnd::NotReached, at(1.1));
        EXPECT_GT(health.m_avoidUntil, at(1.1));
    }

    TEST(UpstreamHealthTest, TwoPeersAreBelievedThatAnUpstreamIsGoneAndOneIsNot)
    {
        auto reach = UpstreamReach();
        reach.m_refusedPeers[VmName("one")] = at(0);
        EXPECT_FALSE(isUnreachable(reach, at(0.1))) << "one may be cut off itself";
        reach.m_refusedPeers[VmName("two")] = at(0.1);
        EXPECT_TRUE(isUnreachable(reach, at(0.2)));
        EXPECT_FALSE(isUnreachable(reach, at(2))) << "it is tried again soon";
    }

} // namespace
} // namespace marigoldladder::relay
