// What answers take of the library's client.
#include "objects/bounded_client.h"

#include "harness/one_answer_server.h"

#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    constexpr auto bounds = AnswerBounds { std::chrono::milliseconds(500), std::chrono::milliseconds(500),
        std::chrono::milliseconds(500), std::size_t { 100 } << 10 };
    constexpr auto slack = std::chrono::milliseconds(500);

    auto get(const OneAnswerServer& server) -> httplib::Result
    {
        auto client = BoundedClient({ "127.0.0.1", server.port() }, bounds);
        return client.Get("/x");
    }

    TEST(BoundedClientTest, AnAnswerWithinTheBoundsIsReceived)
    {
        const auto body = std::string(50'000, 'x');
        const auto server = OneAnswerServer({ "HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n" + body });
        const auto answer = get(server);
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->body, body);
    }

    TEST(BoundedClientTest, MoreBytesThanAllowedAreNoAnswer)
    {
        const auto body = std::string(200'000, 'x');
        const auto server = OneAnswerServer({ "HTTP/1.1 200 OK\r\n\r\n", body.substr(0, 1'000) });
        EXPECT_FALSE(get(server));
    }

    // Each byte comes in time, and the answer never ends.
    TEST(BoundedClientTest, AnAnswerThatTakesTooLongIsNone)
    {
        const auto server = OneAnswerServer({ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "1\r\nx\r\n", false, std::chrono::milliseconds(100) });
        const auto begun = std::chrono::steady_clock::now();
        EXPECT_FALSE(get(server));
        EXPECT_LT(std::chrono::steady_clock::now() - begun, bounds.m_total + slack);
    }

} // namespace
} // namespace marigoldladder
