#include "core/bounded_json.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string>

namespace marigoldladder {
namespace {

    auto nested(std::size_t depth) -> std::string
    {
        return std::string(depth, '[') + std::string(depth, ']');
    }

    TEST(BoundedJsonTest, ReadsValues)
    {
        EXPECT_EQ(readBoundedJson(R"( {"a":[1,2.5,"\"]"],"b":null} )"),
            nlohmann::json({ { "a", { 1, 2.5, "\"]" } }, { "b", nullptr } }));
        EXPECT_EQ(readBoundedJson("\"gr\xc3\xbcn\""), nlohmann::json("gr\xc3\xbcn"));
    }

    TEST(BoundedJsonTest, RejectsTextsThatAreNotJson)
    {
        for (const auto* text :
            { "", "{", "]", "{\"a\"}", "\"", "1e999", "\"\x01\"", "\"\xed\xa0\x80\"", "\"\xff\"" })
            EXPECT_FALSE(readBoundedJson(text)) << text;
    }

    // Values nested some 100,000 deep exhausted the stack as they were copied.
    TEST(BoundedJsonTest, RejectsTextsBeyondTheBounds)
    {
        auto bounds = JsonBounds();
        bounds.m_depth = 3;
        EXPECT_TRUE(readBoundedJson(nested(3), bounds));
        EXPECT_FALSE(readBoundedJson(nested(4), bounds));
        bounds.m_values = 4;
        EXPECT_TRUE(readBoundedJson("[1,2,\"[,[,[,\"]", bounds));
        EXPECT_FALSE(readBoundedJson("[1,2,3,4]", bounds));
        bounds.m_bytes = 4;
        EXPECT_TRUE(readBoundedJson("1234", bounds));
        EXPECT_FALSE(readBoundedJson("12345", bounds));
        EXPECT_FALSE(readBoundedJson(nested(450'000)));
    }

    TEST(BoundedJsonTest, SplitsArraysAndObjectsWithoutReadingTheirParts)
    {
        const auto elements = splitJsonArray(" [1 , \"a,]\" ,{\"b\":[\"}\"]}, \"\xff\"] ");
        ASSERT_TRUE(elements);
        EXPECT_EQ(
            *elements, (std::vector<std::string_view> { "1", "\"a,]\"", R"({"b":["}"]})", "\"\xff\"" }));
        const auto members = splitJsonObject(R"( { "a" : 1e999 , "b":{"c":"\"}"} ,"a": 2})");
        ASSERT_TRUE(members);
        ASSERT_EQ(members->size(), 3U);
        EXPECT_EQ(members->at(0).m_value, "1e999");
        EXPECT_EQ(findJsonMember(*members, "a"), "2");
        EXPECT_EQ(findJsonMember(*members, "b"), R"({"c":"\"}"})");
        EXPECT_EQ(findJsonMember(*members, "c"), "");
        EXPECT_EQ(splitJsonArray("[]")->size(), 0U);
        EXPECT_EQ(splitJsonObject(" { } ")->size(), 0U);
    }

    TEST(BoundedJsonTest, RejectsTextsThatCannotBeSplit)
    {
        for (const auto* text : { "", "[", "[1", "[1,", "[1,]", "[1]]", "[1 2]", "{}", "[\"a]", "[,1]" })
            EXPECT_FALSE(splitJsonArray(text)) << text;
        for (const auto* text : { "", "{", "{\"a\"", "{\"a\":", "{\"a\":1", "{\"a\":1,", "{\"a\":1,}",
                 "{a:1}", "{\"a\" 1}", "[]", "{\"a\":1}x", "{\"a" })
            EXPECT_FALSE(splitJsonObject(text)) << text;
    }

    RC_GTEST_PROP(BoundedJsonTest, AnyTextIsReadOrRejected, (const std::string& text))
    {
        (void)splitJsonArray(text);
        (void)splitJsonObject(text);
        const auto json = readBoundedJson(text);
        RC_ASSERT(json.has_value() == nlohmann::json::accept(text));
    }

    // Whatever bytes one element's string holds, its siblings are read as without it.
    RC_GTEST_PROP(BoundedJsonTest, AnyBytesInOneElementLeaveItsSiblingsReadable, (std::string bytes))
    {
        std::erase_if(bytes, [](char byte) { return byte == '"' || byte == '\\'; });
        const auto text = R"([{"name":"a"},{"name":")" + bytes + R"("},{"name":"c"}])";
        const auto elements = splitJsonArray(text);
        RC_ASSERT(elements && elements->size() == 3U);
        RC_ASSERT(readBoundedJson(elements->front()) == nlohmann::json({ { "name", "a" } }));
        RC_ASSERT(readBoundedJson(elements->back()) == nlohmann::json({ { "name", "c" } }));
    }

    TEST(BoundedJsonTest, ReadsTheTextOfAString)
    {
        const auto text = readJsonText(R"("a\"\\\u00e9\ud83d\ude00\n")");
        ASSERT_TRUE(text);
        EXPECT_TRUE(text->m_isUnicode);
        EXPECT_EQ(text->m_bytes, "a\"\\\xc3\xa9\xf0\x9f\x98\x80\n");
    }

    TEST(BoundedJsonTest, ReadsTheBytesOfAStringThatIsNoText)
    {
        const auto bytesOf = [](std::string_view text) {
            const auto read = readJsonText(text);
            EXPECT_TRUE(read && !read->m_isUnicode) << text;
            return read ? read->m_bytes : "";
        };
        EXPECT_EQ(bytesOf("\"a\xff\\n\xc3\xa9\""), "a\xff\n\xc3\xa9");
        EXPECT_EQ(bytesOf(R"("a\ud800b")"),
            "a\xed\xa0\x80"
            "b");
        EXPECT_EQ(bytesOf(R"("\udc00\ud83d\ude00")"), "\xed\xb0\x80\xf0\x9f\x98\x80");
        EXPECT_EQ(bytesOf("\"a\nb\""), "a\nb");
        EXPECT_EQ(bytesOf(R"("\q\u12")"), "\\q\\u12");
    }

    TEST(BoundedJsonTest, ReadsNoStringWhereThereIsNone)
    {
        for (const auto* text : { "", "5", "null", "\"", "\"a", "\"a\"b", "{}" })
            EXPECT_FALSE(readJsonText(text)) << text;
    }

    RC_GTEST_PROP(BoundedJsonTest, ReadsTheBytesOfAnyString, (const std::string& text))
    {
        const auto quoted = '"' + text + '"';
        const auto read = readJsonText(quoted);
        const auto json = nlohmann::json::parse(quoted, nullptr, false);
        if (json.is_string())
            RC_ASSERT(read && read->m_isUnicode && read->m_bytes == json.get<std::string>());
    }

} // namespace
} // namespace marigoldladder
