// The whole path over real processes: callers, nodes, upstreams and platform.
#include "harness/deployment.h"

#include <gtest/gtest.h>

namespace marigoldladder::harness {
namespace {

    class WholePathTest : public ::testing::Test {
    protected:
        WholePathTest()
            : m_deployment(smallPlan())
        {
            EXPECT_TRUE(m_deployment.waitUntilServing())
                << "expected every node to serve within its start time";
            const auto applied = m_deployment.applyNote(0, basicNote(4));
            EXPECT_TRUE(applied && applied->status == 200) << "expected the note to be taken";
            EXPECT_TRUE(waitUntil(std::chrono::seconds(4), [&] {
                return postCompletion(1, "adapter-0@1", false)->status == 200;
            })) << "expected the note in force on the other node within 4 s";
        }

        auto postCompletion(std::size_t node, const std::string& model, bool stream,
            const std::string& key = basicKey) -> httplib::Result
        {
            auto caller = makeCaller(m_deployment.node(node).m_caller, key);
            return caller.Post("/v1/completions", completionBody(model, 4, stream), "application/json");
        }

        Deployment m_deployment;
    };

    auto verdictOf(const httplib::Result& answer) -> std::string
    {
        return answer ? answer->get_header_value("Marigoldladder-Verdict") : "no answer";
    }

    TEST_F(WholePathTest, AnswersACompletionWithTheAdapterAskedFor)
    {
        const auto answer = postCompletion(0, "adapter-2@1", false);
        ASSERT_TRUE(answer);
        ASSERT_EQ(answer->status, 200) << answer->body;
        EXPECT_EQ(nlohmann::json::parse(answer->body)["model"], "adapter-2@1");
    }

    TEST_F(WholePathTest, StreamsEveryTokenAndTheEnd)
    {
        const auto answer = postCompletion(1, "adapter-1@1", true);
        ASSERT_TRUE(answer);
        ASSERT_EQ(answer->status, 200) << answer->body;
        EXPECT_NE(answer->body.find("\"offset\":3"), std::string::npos)
            << "expected four tokens in " << answer->body;
        EXPECT_NE(answer->body.find("[DONE]"), std::string::npos)
            << "expected the stream's end in " << answer->body;
    }

    TEST_F(WholePathTest, RunsANonIdempotentCallOnceForItsKey)
    {
        auto caller = makeCaller(m_deployment.node(0).m_caller, basicKey);
        const auto headers = httplib::Headers { { "Idempotency-Key", "booking-17" } };
        const auto first = caller.Post("/services/appointments/book", headers, "{}", "application/json");
        ASSERT_TRUE(first);
        EXPECT_EQ(first->status, 200) << first->body;
        (void)caller.Post("/services/appointments/book", headers, "{}", "application/json");
        EXPECT_EQ(m_deployment.upstreamRecords("booking-1")["runs"]["booking-17"], 1);
    }

    TEST_F(WholePathTest, ServesARouteOpenToAllWithoutAKey)
    {
        auto caller = makeCaller(m_deployment.node(1).m_caller, "");
        const auto answer = caller.Get("/services/slots/free?day=monday");
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->status, 200) << answer->body;
    }

    TEST_F(WholePathTest, RefusesAWrongKeyAsNotRun)
    {
        const auto answer = postCompletion(0, "adapter-0@1", false, "aare-1.wrong");
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->status, 401);
        EXPECT_EQ(verdictOf(answer), "not_run");
    }

    TEST_F(WholePathTest, RefusesAnUnknownAdapterAsNotRun)
    {
        const auto answer = postCompletion(0, "adapter-99@1", false);
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->status, 404);
        EXPECT_EQ(verdictOf(answer), "not_run");
    }

    TEST_F(WholePathTest, ShowsNoUpstreamTheCallersKey)
    {
        (void)postCompletion(0, "adapter-0@1", false);
        (void)postCompletion(1, "adapter-3@1", true);
        for (const auto* upstream : { "triage-1", "triage-2", "booking-1" }) {
            const auto records = m_deployment.upstreamRecords(upstream).dump();
            EXPECT_EQ(records.find("aare-1"), std::string::npos)
                << "expected no key in the records of " << upstream;
        }
    }

} // namespace
} // namespace marigoldladder::harness
