#include "relay/own_links.h"

#include "relay/relay_fixtures.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    constexpr auto upstreams = std::size_t { 6 };

    class OwnLinksTest : public testing::Test {
    protected:
        auto block(Upstream& upstream, bool isSilent = true) -> void
        {
            recordBlocked(m_links, upstream, isSilent, at(0));
        }

        static auto makeUpstream(const std::string& name) -> Upstream
        {
            auto upstream = Upstream();
            upstream.m_record = engineRecord(name);
            return upstream;
        }

        OwnLinks m_links;
        Upstream m_first = makeUpstream("i-1");
        Upstream m_second = makeUpstream("i-2");
        Upstream m_third = makeUpstream("i-3");
    };

    TEST_F(OwnLinksTest, OneBlockedPathConcernsOnlyItsUpstream)
    {
        block(m_first);
        EXPECT_FALSE(isStranded(m_links, upstreams));
        EXPECT_TRUE(isPathBlocked(m_links, m_first, upstreams));
        EXPECT_FALSE(isPathBlocked(m_links, m_second, upstreams));
    }

    TEST_F(OwnLinksTest, TheSameUpstreamTwiceIsStillOnePath)
    {
        block(m_first);
        block(m_first);
        EXPECT_FALSE(isStranded(m_links, upstreams));
    }

    TEST_F(OwnLinksTest, TwoBlockedPathsStrandTheNode)
    {
        block(m_first);
        block(m_second);
        EXPECT_TRUE(isStranded(m_links, upstreams));
        EXPECT_TRUE(isPathBlocked(m_links, m_third, upstreams));
    }

    TEST_F(OwnLinksTest, TheOnlyUpstreamStrandsTheNode)
    {
        block(m_first);
        EXPECT_TRUE(isStranded(m_links, 1));
        EXPECT_FALSE(isStranded(OwnLinks(), 0));
    }

    TEST_F(OwnLinksTest, OneUpstreamReachedEndsTheStrandingButNotOtherBlockedPaths)
    {
        block(m_first);
        block(m_second);
        recordReached(m_links, m_second);
        EXPECT_FALSE(isStranded(m_links, upstreams));
        EXPECT_FALSE(isPathBlocked(m_links, m_second, upstreams));
        EXPECT_FALSE(isPathBlocked(m_links, m_third, upstreams));
        EXPECT_TRUE(isPathBlocked(m_links, m_first, upstreams));
    }

    TEST_F(OwnLinksTest, APathReachedInBetweenStartsTheCountAnew)
    {
        block(m_first);
        recordReached(m_links, m_third);
        block(m_second);
        EXPECT_FALSE(isStranded(m_links, upstreams));
    }

    TEST_F(OwnLinksTest, ABlockedPathIsTriedAgainOnceASecond)
    {
        block(m_first);
        EXPECT_FALSE(beginTry(m_links, m_first, at(0.9)));
        EXPECT_TRUE(beginTry(m_links, m_first, at(1.0)));
        EXPECT_FALSE(beginTry(m_links, m_first, at(1.9)));
        EXPECT_TRUE(beginTry(m_links, m_first, at(2.0)));
    }

    TEST_F(OwnLinksTest, WhileStrandedPathsNotFoundBlockedShareTheirTries)
    {
        block(m_first);
        block(m_second);
        auto fourth = makeUpstream("i-4");
        EXPECT_TRUE(beginTry(m_links, m_third, at(0.1)));
        EXPECT_FALSE(beginTry(m_links, fourth, at(0.2)));
        EXPECT_TRUE(beginTry(m_links, fourth, at(1.1)));
    }

} // namespace
} // namespace marigoldladder::relay
