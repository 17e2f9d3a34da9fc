#include "relay/stream_time.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    TEST(StreamTimeTest, GrowsWithTheTokensAskedFor)
    {
        EXPECT_EQ(expectedStreamTime(true, 0), Milliseconds(1'500));
        EXPECT_EQ(expectedStreamTime(true, 100), Milliseconds(2'700));
    }

    // Seen on a site: a stream of about 400 tokens, taken 4.6 s before the node ended, was cut.
    TEST(StreamTimeTest, LeavesALongStreamNoPlaceInTheLastSeconds)
    {
        EXPECT_GT(expectedStreamTime(true, 400), Milliseconds(4'600));
        EXPECT_GT(expectedStreamTime(false, 0), Milliseconds(4'600));
    }

} // namespace
} // namespace marigoldladder::relay
