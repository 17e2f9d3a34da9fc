#include "ops/log_story.h"

#include <gtest/gtest.h>
#include <sstream>

namespace marigoldladder {
namespace {

    constexpr auto logs
        = "2.1 node-b 2026-01-01T10:00:02.000Z INFO "
          "{\"event\":\"request_refused\",\"vm\":\"node-b\",\"request\":\"r1\","
          "\"reason\":\"late\"}\n"
          "not a line of ours with r1\n"
          "2026-01-01T10:00:01.000Z INFO "
          "{\"event\":\"request_attempt\",\"vm\":\"node-a\",\"request\":\"r1\",\"end\":\"cut\"}\n"
          "2026-01-01T10:00:01.500Z INFO "
          "{\"event\":\"request_attempt\",\"vm\":\"node-a\",\"request\":\"r12\"}\n"
          "2026-01-01T10:00:01.600Z INFO {\"event\":\"broken r1\n";

    TEST(LogStoryTest, GathersTheLinesOfOneRequestByTime)
    {
        auto input = std::istringstream(logs);
        const auto story = readStory(input, "r1");
        ASSERT_EQ(story.size(), 2U);
        EXPECT_EQ(story[0].m_event, "request_attempt");
        EXPECT_EQ(story[1].m_event, "request_refused");
        EXPECT_EQ(story[1].m_vm, "node-b");
        EXPECT_EQ(story[1].m_time, "2026-01-01T10:00:02.000Z");
        ASSERT_EQ(story[1].m_fields.size(), 1U);
        EXPECT_EQ(story[1].m_fields[0].second, "late");
    }

    TEST(LogStoryTest, SaysWhenThereIsNone)
    {
        auto input = std::istringstream(logs);
        EXPECT_EQ(formatStory("r9", readStory(input, "r9")), "no line about request r9\n");
    }

} // namespace
} // namespace marigoldladder
