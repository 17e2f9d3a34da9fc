#include "core/percent_encoding.h"

#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    TEST(PercentEncodingTest, LeavesUnreservedCharacters)
    {
        EXPECT_EQ(percentEncoded("azAZ09-._~"), "azAZ09-._~");
        EXPECT_EQ(percentEncoded(""), "");
    }

    TEST(PercentEncodingTest, EncodesWhatTargetsAndFormsReserve)
    {
        EXPECT_EQ(percentEncoded("&+#% /?="), "%26%2B%23%25%20%2F%3F%3D");
    }

    TEST(PercentEncodingTest, EncodesControlsAndBytesThatAreNotUtf8)
    {
        EXPECT_EQ(percentEncoded(std::string_view("\r\n\0\x7f\xff\xc3\xa9", 7)), "%0D%0A%00%7F%FF%C3%A9");
    }

} // namespace
} // namespace marigoldladder
