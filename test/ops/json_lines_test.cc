#include "ops/json_lines.h"

#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    constexpr auto note = R"({
 "note_id": "a",
 "changes": [
  {"put": "adapter",
   "organisations": ["aare",
    "reuss"]},
  {"put": "route"}
 ]
})";

    TEST(FieldLinesTest, KnowsTheLineOfFieldsAndElements)
    {
        const auto lines = fieldLines(note);
        EXPECT_EQ(lines.at("/note_id"), 2);
        EXPECT_EQ(lines.at("/changes/0/organisations"), 5);
        EXPECT_EQ(lines.at("/changes/0/organisations/1"), 6);
        EXPECT_EQ(lines.at("/changes/1"), 7);
    }

    TEST(FieldLinesTest, GivesAMissingFieldTheLineOfItsObject)
    {
        EXPECT_EQ(lineOf(fieldLines(note), "/changes/1/pool"), 7);
        EXPECT_EQ(lineOf(fieldLines(note), "/"), 1);
    }

    TEST(FieldLinesTest, CoversWhatStandsBeforeAnError)
    {
        EXPECT_EQ(fieldLines("{\n\"a\": 1,\n\"b\" 2}").at("/a"), 2);
    }

} // namespace
} // namespace marigoldladder
