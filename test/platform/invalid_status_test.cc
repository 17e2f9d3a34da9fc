// Upstreams in trouble that answer with a status that is none, such as 000.
#include "platform/relay_path_fixture.h"

namespace marigoldladder::platform {
namespace {

    constexpr auto badGateway = 502;
    constexpr auto routes = std::array { "/plain/x", "/charge/x", "/once/x", "/stream/x", "/open/x" };
    constexpr auto invalidStatuses = std::array { "000", "099", "101", "600", "999" };

    auto headWith(const UpstreamRequest& request, const std::string& status) -> std::string
    {
        return "HTTP/1.1 " + status
            + " Odd\r\nX-Marigoldladder-Request-Id: " + std::string(request["X-Marigoldladder-Request-Id"])
            + "\r\nX-Marigoldladder-Server-Stamp: stamp-1\r\n";
    }

    // Answers with the status and a body that is itself an answer.
    auto answerInside(const std::string& status)
    {
        return [status](const UpstreamRequest& request) {
            const auto inner = answerTo(request, 200, "not an answer");
            return UpstreamReply { headWith(request, status)
                + "Content-Length: " + std::to_string(inner.size()) + "\r\n\r\n" + inner };
        };
    }

    // Answers with the status, and with 200 behind it.
    auto answerBehind(const std::string& status)
    {
        return [status](const UpstreamRequest& request) {
            return UpstreamReply { headWith(request, status) + "Content-Length: 0\r\n\r\n"
                + answerTo(request, 200, "not an answer") };
        };
    }

    auto interimAnswers(int count)
    {
        return [count](const UpstreamRequest& request) {
            auto bytes = std::string();
            for (auto number = 0; number < count; ++number)
                bytes += "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n";
            return UpstreamReply { bytes + answerTo(request, 200, "the answer") };
        };
    }

    class InvalidStatusTest : public RelayPathTest, public testing::WithParamInterface<const char*> {
    protected:
        auto expectFailureOnAllRoutes() -> void
        {
            configure();
            for (const auto* route : routes) {
                const auto reply = m_relay.send(callerRequest("POST", route, "", "go"));
                EXPECT_EQ(reply.m_status, badGateway) << route << ": " << reply.m_head << reply.m_body;
                EXPECT_NE(reply.m_body.find("may_have_run"), std::string::npos) << reply.m_body;
            }
        }
    };

    TEST_P(InvalidStatusTest, ABodyThatLooksLikeAnAnswerIsNone)
    {
        addUpstream("i-1", answerInside(GetParam()));
        expectFailureOnAllRoutes();
    }

    TEST_P(InvalidStatusTest, WhatFollowsOnTheConnectionIsNoAnswer)
    {
        addUpstream("i-1", answerBehind(GetParam()));
        expectFailureOnAllRoutes();
    }

    TEST_P(InvalidStatusTest, ARequestThatMayRunTwiceIsAnsweredByAnotherUpstream)
    {
        addUpstream("i-1", answerInside(GetParam()));
        addUpstream("i-2", answerWith("sound"));
        configure();
        for (auto number = 0; number < 4; ++number) {
            const auto reply = m_relay.send(callerRequest("POST", "/plain/x", "", "go"));
            EXPECT_EQ(reply.m_status, 200) << reply.m_body;
            EXPECT_EQ(reply.m_body, "sound");
        }
    }

    INSTANTIATE_TEST_SUITE_P(Statuses, InvalidStatusTest, testing::ValuesIn(invalidStatuses),
        [](const testing::TestParamInfo<const char*>& status) { return std::string(status.param); });

    class InterimAnswersTest : public RelayPathTest { };

    TEST_F(InterimAnswersTest, AFewArePassedOver)
    {
        addUpstream("i-1", interimAnswers(3));
        configure();
        const auto reply = m_relay.send(callerRequest("POST", "/charge/x", "", "go"));
        EXPECT_EQ(reply.m_status, 200);
        EXPECT_EQ(reply.m_body, "the answer");
    }

    TEST_F(InterimAnswersTest, ManyAreNotWaitedThrough)
    {
        addUpstream("i-1", interimAnswers(1'000));
        configure();
        const auto reply = m_relay.send(callerRequest("POST", "/charge/x", "", "go"));
        EXPECT_EQ(reply.m_status, badGateway) << reply.m_head;
    }

} // namespace
} // namespace marigoldladder::platform
