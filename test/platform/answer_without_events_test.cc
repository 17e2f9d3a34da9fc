// Streams of which the upstream sends the head, but no event.
#include "platform/relay_path_fixture.h"

namespace marigoldladder::platform {
namespace {

    class AnswerWithoutEventsTest : public RelayPathTest {
    protected:
        // Expects a whole answer of the node itself with this status.
        auto expectFailure(const CallerReply& reply, int status) -> void
        {
            EXPECT_EQ(reply.m_status, status) << reply.m_head;
            EXPECT_TRUE(reply.m_complete);
            EXPECT_NE(reply.m_body.find("may_have_run"), std::string::npos) << reply.m_body;
        }
    };

    auto headThenReset(const UpstreamRequest& request) -> UpstreamReply
    {
        return { streamHead(request, "broken"), false, true };
    }

    auto headThenSilence(const UpstreamRequest& request) -> UpstreamReply
    {
        return { streamHead(request, "silent") };
    }

    auto wholeStream(const UpstreamRequest& request) -> UpstreamReply
    {
        return { streamHead(request, "sound", "") + "id: 1\ndata: a\n\n", true };
    }

    TEST_F(AnswerWithoutEventsTest, AnAtMostOnceStreamThatBreaksAfterItsHeadIsAnsweredWithAFailure)
    {
        addUpstream("i-1", headThenReset);
        configure();
        expectFailure(m_relay.send(callerRequest("POST", "/once/x", "", "go")), 502);
        EXPECT_EQ(m_relay.requestsAt("i-1").size(), 1U);
    }

    TEST_F(AnswerWithoutEventsTest, AnAtMostOnceStreamThatStaysSilentAfterItsHeadIsAnsweredAtTheDeadline)
    {
        addUpstream("i-1", headThenSilence);
        configure();
        expectFailure(m_relay.send(callerRequest("POST", "/once/x", "", "go")), 504);
    }

    TEST_F(AnswerWithoutEventsTest, AResumableStreamThatBreaksAtAllUpstreamsIsAnsweredWithAFailure)
    {
        addUpstream("i-1", headThenReset);
        addUpstream("i-2", headThenReset);
        configure();
        expectFailure(m_relay.send(callerRequest("POST", "/stream/x", "", "go")), 502);
        EXPECT_EQ(m_relay.requestsAt("i-1").size() + m_relay.requestsAt("i-2").size(), 2U);
    }

    TEST_F(AnswerWithoutEventsTest, AnAnswerHasTheHeadOfTheUpstreamWhoseEventsItHas)
    {
        auto heads = std::make_shared<int>(0);
        const auto breakFirst = [heads](const UpstreamRequest& request) {
            return ++*heads == 1 ? headThenReset(request) : wholeStream(request);
        };
        addUpstream("i-1", breakFirst);
        addUpstream("i-2", breakFirst);
        configure();
        const auto reply = m_relay.send(callerRequest("POST", "/stream/x", "", "go"));
        EXPECT_EQ(reply.m_body, "id: 1\ndata: a\n\n");
        EXPECT_TRUE(reply.m_complete);
        EXPECT_NE(reply.m_head.find("Stamp: sound"), std::string::npos) << reply.m_head;
        EXPECT_EQ(reply.m_head.find("Stamp: broken"), std::string::npos) << reply.m_head;
    }

    TEST_F(AnswerWithoutEventsTest, AFailureOfTheNextUpstreamReplacesAHeadThatWasNotSent)
    {
        auto calls = std::make_shared<int>(0);
        const auto breakThenFail = [calls](const UpstreamRequest& request) {
            return ++*calls == 1 ? headThenReset(request)
                                 : UpstreamReply { answerTo(request, 500, "broken") };
        };
        addUpstream("i-1", breakThenFail);
        addUpstream("i-2", breakThenFail);
        configure();
        const auto reply = m_relay.send(callerRequest("POST", "/stream/x", "", "go"));
        EXPECT_EQ(reply.m_status, 500);
        EXPECT_EQ(reply.m_body, "broken");
        EXPECT_TRUE(reply.m_complete);
    }

} // namespace
} // namespace marigoldladder::platform
