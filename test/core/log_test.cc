#include "core/log.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <string>

namespace marigoldladder {
namespace {

    // The line that the function logs.
    template <typename Function> auto logged(Function log) -> std::string
    {
        testing::internal::CaptureStderr();
        initialiseLog("info", "vm-1");
        log();
        return testing::internal::GetCapturedStderr();
    }

    TEST(LogTest, KeepsAnyTextInOneLine)
    {
        const auto line = logged([] { logWarning("object_unreadable", { { "object", "a\r\n\xff\"b" } }); });
        EXPECT_EQ(std::count(line.begin(), line.end(), '\n'), 1);
        EXPECT_NE(line.find(R"("object":"a\r\n)"), std::string::npos) << line;
    }

    TEST(LogTest, CutsTextOfAnyLength)
    {
        constexpr auto longText = std::size_t { 1 } << 20;
        const auto line = logged([] {
            logWarning("object_unreadable", { { "object", std::string(longText, 'x') }, { "b", "c" } });
        });
        EXPECT_NE(line.find(R"("b":"c")"), std::string::npos);
        EXPECT_LT(line.size(), 10'000U);
    }

} // namespace
} // namespace marigoldladder
