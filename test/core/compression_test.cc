#include "core/compression.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldladder {
namespace {

    RC_GTEST_PROP(CompressionTest, ATextIsTheSameAfterItWasCompressed, (const std::string& text))
    {
        RC_ASSERT(decompress(compress(text), text.size()) == text);
    }

    TEST(CompressionTest, AListOfAlikeObjectsTakesATenthOfItsLength)
    {
        auto text = std::string();
        for (auto number = 0; number < 1'000; ++number)
            text += R"({"name":"route-)" + std::to_string(number)
                + R"(","host":"shop.example","attempts":2},)";
        EXPECT_LT(compress(text).size() * 10, text.size());
    }

    TEST(CompressionTest, RejectsBytesThatAreNotThoseOfATextOfThatLength)
    {
        const auto bytes = compress("a text");
        EXPECT_FALSE(decompress(bytes, 5));
        EXPECT_FALSE(decompress(bytes, 7));
        EXPECT_FALSE(decompress(bytes.substr(0, bytes.size() - 1), 6));
        EXPECT_FALSE(decompress("no such bytes", 6));
        EXPECT_FALSE(decompress("", 1));
    }

} // namespace
} // namespace marigoldladder
