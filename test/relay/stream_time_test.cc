#include "relay/stream_time.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    TEST(StreamTimeTest, GrowsWithTheRequestedOutputTokens)
    {
        EXPECT_EQ(expectedStreamTime(true, 0), Milliseconds(1'500));
        EXPECT_EQ(expectedStreamTime(true, 100), Milliseconds(2'700));
    }

    // Seen on a site: a node accepted a stream of about 400 tokens 4.6 s before its exit and interrupted it.
    TEST(StreamTimeTest, ExceedsTheLastSecondsOfANodeForALongStream)
    {
        EXPECT_GT(expectedStreamTime(true, 400), Milliseconds(4'600));
        EXPECT_GT(expectedStreamTime(false, 0), Milliseconds(4'600));
    }

} // namespace
} // namespace marigoldladder::relay
