#include "objects/request_framing.h"

#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    constexpr auto smallBounds = RequestBounds { 200, 20 };

    // Takes the bytes one by one, as they may come. Returns whether all were taken.
    auto takesOneByOne(RequestFraming& framing, std::string_view bytes) -> bool
    {
        for (auto at = std::size_t { 0 }; at < bytes.size(); ++at) {
            if (!takeBytes(framing, smallBounds, bytes.substr(at, 1)))
                return false;
        }
        return true;
    }

    // Expects the same of the bytes at once and one by one.
    auto takes(std::string_view bytes) -> bool
    {
        auto atOnce = RequestFraming();
        auto oneByOne = RequestFraming();
        const auto isTaken = takeBytes(atOnce, smallBounds, bytes);
        EXPECT_EQ(takesOneByOne(oneByOne, bytes), isTaken) << bytes;
        return isTaken;
    }

    auto endsARequest(std::string_view bytes) -> bool
    {
        auto framing = RequestFraming();
        return takeBytes(framing, smallBounds, bytes) && isBetweenRequests(framing);
    }

    TEST(RequestFramingTest, FindsTheEndOfARequest)
    {
        EXPECT_TRUE(endsARequest("GET / HTTP/1.1\r\nHost: h\r\n\r\n"));
        EXPECT_TRUE(endsARequest("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"));
        EXPECT_TRUE(endsARequest(
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nx: 1\r\n\r\n"));
        EXPECT_FALSE(endsARequest("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab"));
        EXPECT_FALSE(endsARequest("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"));
    }

    TEST(RequestFramingTest, FollowsRequestsInARow)
    {
        EXPECT_TRUE(endsARequest("POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\naGET / HTTP/1.1\r\n\r\n"));
    }

    TEST(RequestFramingTest, TakesRequestsAtTheirLimits)
    {
        EXPECT_TRUE(takes("POST / HTTP/1.1\r\nContent-Length: 20\r\n\r\n" + std::string(20, 'x')));
        EXPECT_TRUE(takes("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n14\r\n" + std::string(20, 'x')
            + "\r\n0\r\n\r\n"));
    }

    TEST(RequestFramingTest, TakesNoBodyBeyondItsLimit)
    {
        EXPECT_FALSE(takes("POST / HTTP/1.1\r\nContent-Length: 21\r\n\r\nx"));
        EXPECT_FALSE(takes("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n15\r\nx"));
        EXPECT_FALSE(takes("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n14\r\n"
            + std::string(20, 'x') + "\r\n1\r\nx"));
        EXPECT_FALSE(takes("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nx"));
    }

    TEST(RequestFramingTest, TakesNoHeadTrailersOrExtensionWithoutEnd)
    {
        EXPECT_FALSE(takes("GET / HTTP/1.1\r\nx: " + std::string(300, 'x')));
        EXPECT_FALSE(takes("GET / HTTP/1.1\r\n" + std::string(300, 'x')));
        EXPECT_FALSE(
            takes("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + std::string(300, 'x')));
        EXPECT_FALSE(
            takes("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" + std::string(5'000, 'x')));
    }

    // The library decompresses bodies without a bound.
    TEST(RequestFramingTest, TakesNoEncodedBody)
    {
        EXPECT_FALSE(takes("POST / HTTP/1.1\r\nContent-Encoding: gzip\r\nContent-Length: 3\r\n\r\na"));
        EXPECT_TRUE(takes("POST / HTTP/1.1\r\nContent-Encoding: identity\r\nContent-Length: 3\r\n\r\nabc"));
    }

    TEST(RequestFramingTest, TakesNoRequestWhoseEndIsNotCertain)
    {
        for (const auto* fields :
            { "Content-Length: 1\r\nContent-Length: 1\r\n",
                "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
                "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n", "Transfer-Encoding: gzip, chunked\r\n",
                "Content-Length: 1x\r\n", "Content-Length: -1\r\n", "x: 1\n" })
            EXPECT_FALSE(takes("POST / HTTP/1.1\r\n" + std::string(fields) + "\r\n")) << fields;
        EXPECT_FALSE(takes("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"));
    }

} // namespace
} // namespace marigoldladder
