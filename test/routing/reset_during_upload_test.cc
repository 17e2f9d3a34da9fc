// Upstreams that answer before they have read the request, and reset the connection meanwhile.
#include "routing/upstream_client.h"

#include "harness/one_answer_server.h"

#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    constexpr auto longBodyBytes = std::size_t { 16'000'000 }; // Doesn't fit the buffers on the way.

    class ResetDuringUploadTest : public testing::TestWithParam<bool> { };

    // An answer without a length ends with its connection, and a reset is no end.
    TEST_P(ResetDuringUploadTest, IsALostAnswer)
    {
        const auto server = OneAnswerServer({ "HTTP/1.1 200 OK\r\n\r\ndata: {\"a\":1}\n\n", "", true });
        auto upstream = Upstream();
        upstream.m_address = { "127.0.0.1", server.port() };
        auto call = ServeCall();
        call.m_method = "POST";
        call.m_path = "/book";
        call.m_body = std::string(longBodyBytes, 'x');
        call.m_stream = GetParam();
        call.m_deadline = std::chrono::milliseconds(2'000);
        auto metrics = Metrics();
        auto control = CallControl();
        const auto end = runCall(upstream, call, control, metrics, [](const auto& /*part*/) {});
        EXPECT_EQ(end.m_outcome, ExchangeOutcome::Lost);
        EXPECT_FALSE(end.m_end.m_completed);
        EXPECT_EQ(end.m_end.m_failure.m_verdict, Verdict::MayHaveRun);
    }

    INSTANTIATE_TEST_SUITE_P(Kinds, ResetDuringUploadTest, testing::Bool(),
        [](const auto& info) { return info.param ? "Stream" : "WholeAnswer"; });

} // namespace
} // namespace marigoldladder
