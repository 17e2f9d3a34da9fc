#include "relay/event_text.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    TEST(EventTextTest, CountsOnlyCompleteEvents)
    {
        EXPECT_EQ(wholeEventsLength("id: 1\ndata: x\n\nid: 2\nda"), std::string("id: 1\ndata: x\n\n").size());
        EXPECT_EQ(
            wholeEventsLength("id: 1\r\ndata: x\r\n\r\n"), std::string("id: 1\r\ndata: x\r\n\r\n").size());
        EXPECT_EQ(wholeEventsLength("id: 1\ndata: x\n"), 0U);
    }

    TEST(EventTextTest, ReturnsTheIdOfTheLastEvent)
    {
        EXPECT_EQ(lastEventId("id: 1\ndata: a\n\nid: 27\ndata: id: 9\n\n"), "27");
        EXPECT_EQ(lastEventId("data: id: 9\n\n"), "");
        EXPECT_EQ(lastEventId("id:3\n\n"), "3");
        EXPECT_EQ(lastEventId(""), "");
    }

} // namespace
} // namespace marigoldladder::relay
