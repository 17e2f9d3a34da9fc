// Upstreams that send bytes without end in place of an answer, as fast as they are read.
#include "routing/upstream_client.h"

#include "harness/one_answer_server.h"

#include <chrono>
#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    constexpr auto deadline = std::chrono::milliseconds(1'000);
    constexpr auto slack = std::chrono::milliseconds(1'500); // A late answer may still be of use.

    struct EndlessAnswer {
        const char* m_name;
        bool m_isStream;
        std::string m_begin;
        std::string m_repeated;
    };

    auto endlessAnswers() -> std::vector<EndlessAnswer>
    {
        const auto head = std::string("HTTP/1.1 200 OK\r\n");
        const auto chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
        const auto bytes = std::string(16'000, 'x');
        return { { "Head", false, head, "X-More: " + bytes.substr(0, 3'000) + "\r\n" },
            { "HeadLine", false, head + "X-Long: ", bytes }, { "Body", false, head + "\r\n", bytes },
            { "ChunkLine", false, chunked + "1;note=", bytes },
            { "ChunkExtensions", false, chunked, "1;note=" + bytes.substr(0, 1'000) + "\r\nx\r\n" },
            { "Event", true, head + "\r\n", bytes },
            { "ChunkLineOfAStream", true, chunked + "1;note=", bytes },
            { "Events", true, head + "\r\n", "data: {}\n\n" } };
    }

    class AnswerWithoutEndTest : public testing::TestWithParam<EndlessAnswer> { };

    // The library ends only waits for bytes, and keeps a line or a body of any length: the call held its
    // thread and memory without bound.
    TEST_P(AnswerWithoutEndTest, IsALostAnswerSoonAfterTheDeadline)
    {
        const auto& answer = GetParam();
        const auto server = OneAnswerServer({ answer.m_begin, answer.m_repeated });
        auto upstream = Upstream();
        upstream.m_address = { "127.0.0.1", server.port() };
        auto call = ServeCall();
        call.m_method = "POST";
        call.m_path = "/book";
        call.m_stream = answer.m_isStream;
        call.m_deadline = deadline;
        auto metrics = Metrics();
        auto control = CallControl();
        const auto begun = std::chrono::steady_clock::now();
        auto isOver = std::atomic<bool> { false };
        // So that a call without an end ends this test.
        auto watchdog = std::thread([&] {
            while (!isOver && std::chrono::steady_clock::now() < begun + deadline + slack)
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
            control.cancel();
        });
        const auto end = runCall(upstream, call, control, metrics, [](const auto& /*part*/) {});
        isOver = true;
        EXPECT_LT(std::chrono::steady_clock::now() - begun, deadline + slack);
        watchdog.join();
        EXPECT_FALSE(end.m_end.m_completed);
        EXPECT_EQ(end.m_end.m_failure.m_verdict, Verdict::MayHaveRun);
    }

    INSTANTIATE_TEST_SUITE_P(Parts, AnswerWithoutEndTest, testing::ValuesIn(endlessAnswers()),
        [](const auto& info) { return info.param.m_name; });

} // namespace
} // namespace marigoldladder
