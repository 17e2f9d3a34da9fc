// Upstreams in trouble that answer with a status that is none, such as 000.
#include "routing/upstream_client.h"

#include "harness/one_answer_server.h"

#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    class InvalidStatusTest : public testing::TestWithParam<const char*> { };

    TEST_P(InvalidStatusTest, IsNoAnswerToACaller)
    {
        const auto inner = std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno");
        const auto server = OneAnswerServer({ "HTTP/1.1 " + std::string(GetParam())
            + " Odd\r\nContent-Length: " + std::to_string(inner.size()) + "\r\n\r\n" + inner + inner });
        auto upstream = Upstream();
        upstream.m_address = { "127.0.0.1", server.port() };
        auto call = ServeCall();
        call.m_method = "POST";
        call.m_path = "/book";
        call.m_deadline = std::chrono::milliseconds(2'000);
        auto parts = 0;
        auto metrics = Metrics();
        auto control = CallControl();
        const auto end = runCall(upstream, call, control, metrics, [&](const auto& /*part*/) { ++parts; });
        EXPECT_EQ(parts, 0) << "expected nothing for the caller";
        EXPECT_FALSE(end.m_end.m_completed);
        EXPECT_EQ(end.m_end.m_failure.m_verdict, Verdict::MayHaveRun);
    }

    INSTANTIATE_TEST_SUITE_P(
        Statuses, InvalidStatusTest, testing::Values("000", "099", "101", "103", "600", "999"));

} // namespace
} // namespace marigoldladder
