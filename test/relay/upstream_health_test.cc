#include "relay/upstream_health.h"

#include "relay/relay_fixtures.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    TEST(UpstreamHealthTest, AFewFailuresAmongManySuccessesChangeNothing)
    {
        auto health = UpstreamHealth();
        for (auto call = 0; call < 100; ++call)
            recordCallEnd(health, call % 7 == 0 ? CallEnd::Failed : CallEnd::Answered, at(call * 0.02));
        EXPECT_LE(health.m_avoidUntil, at(0)) << "avoided although only one call in seven failed";
    }

    TEST(UpstreamHealthTest, ATimedOutUpstreamIsAvoidedAtOnceAndEachTimeForLonger)
    {
        auto health = UpstreamHealth();
        recordCallEnd(health, CallEnd::TimedOut, at(0));
        const auto first = health.m_avoidUntil - at(0);
        EXPECT_GT(health.m_avoidUntil, at(0));
        recordCallEnd(health, CallEnd::TimedOut, at(10));
        EXPECT_GT(health.m_avoidUntil - at(10), first);
    }

    TEST(UpstreamHealthTest, AnUpstreamThatBreaksConnectionsInARowIsAvoided)
    {
        auto health = UpstreamHealth();
        recordCallEnd(health, CallEnd::Broken, at(0));
        recordCallEnd(health, CallEnd::Broken, at(0.1));
        EXPECT_GT(health.m_avoidUntil, at(0.1));
    }

    TEST(UpstreamHealthTest, AnUpstreamThatCannotBeReachedIsAvoidedDespiteEarlierSuccesses)
    {
        auto health = UpstreamHealth();
        for (auto call = 0; call < 50; ++call)
            recordCallEnd(health, CallEnd::Answered, at(call * 0.02));
        recordCallEnd(health, CallEnd::NotReached, at(1.1));
        EXPECT_GT(health.m_avoidUntil, at(1.1));
    }

    TEST(UpstreamHealthTest, AnUpstreamIsUnreachableIfTwoPeersReportItButNotIfOneDoes)
    {
        auto reach = UpstreamReachability();
        reach.m_refusedPeers[VmName("one")] = at(0);
        EXPECT_FALSE(isUnreachable(reach, at(0.1))) << "the only reporting peer may be cut off itself";
        reach.m_refusedPeers[VmName("two")] = at(0.1);
        EXPECT_TRUE(isUnreachable(reach, at(0.2)));
        EXPECT_FALSE(isUnreachable(reach, at(2))) << "the reports have expired, so it may be tried again";
    }

} // namespace
} // namespace marigoldladder::relay
