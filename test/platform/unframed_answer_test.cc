// Answers of upstreams that have neither a length nor chunks and end with their connection.
#include "platform/relay_path_fixture.h"

namespace marigoldladder::platform {
namespace {

    // Answers with an unframed stream of two events; an unfinished one ends inside a third.
    auto unframedStream(bool unfinished)
    {
        return [unfinished](const UpstreamRequest& request) {
            if (!request["Last-Event-Id"].empty())
                return UpstreamReply { streamHead(request, "second", "") + "id: 3\ndata: c\n\n", true };
            const auto events = std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
            return UpstreamReply {
                streamHead(request, "first", "") + events + (unfinished ? "id: 3\nda" : ""), true
            };
        };
    }

    class UnframedAnswerTest : public RelayPathTest { };

    TEST_F(UnframedAnswerTest, AStreamThatEndsAfterAnEventIsComplete)
    {
        addUpstream("i-1", unframedStream(false));
        configure();
        const auto reply = m_relay.send(callerRequest("POST", "/once/x", "", "go"));
        EXPECT_TRUE(reply.m_complete);
        EXPECT_EQ(reply.m_body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    }

    TEST_F(UnframedAnswerTest, AStreamThatEndsInsideAnEventIsBrokenOff)
    {
        addUpstream("i-1", unframedStream(true));
        configure();
        const auto reply = m_relay.send(callerRequest("POST", "/once/x", "", "go"));
        EXPECT_FALSE(reply.m_complete);
        EXPECT_TRUE(reply.m_closed);
        EXPECT_EQ(reply.m_body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    }

    TEST_F(UnframedAnswerTest, AStreamThatEndsInsideAnEventIsResumedAtAnotherUpstream)
    {
        addUpstream("i-1", unframedStream(true));
        addUpstream("i-2", unframedStream(true));
        configure();
        const auto reply = m_relay.send(callerRequest("POST", "/stream/x", "", "go"));
        EXPECT_TRUE(reply.m_complete);
        EXPECT_EQ(reply.m_body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    }

    TEST_F(UnframedAnswerTest, AStreamThatEndsBeforeItsFirstEventIsBrokenOff)
    {
        addUpstream("i-1", [](const UpstreamRequest& request) {
            return UpstreamReply { streamHead(request, "first", ""), true };
        });
        configure();
        const auto reply = m_relay.send(callerRequest("POST", "/once/x", "", "go"));
        EXPECT_FALSE(reply.m_complete && reply.m_status == 200)
            << "expected no complete answer of 200 without any event, got " << reply.m_head;
    }

    TEST_F(UnframedAnswerTest, AWholeAnswerEndsWithItsConnection)
    {
        addUpstream("i-1", [](const UpstreamRequest& request) {
            return UpstreamReply { "HTTP/1.1 200 OK\r\nX-Marigoldladder-Request-Id: "
                    + std::string(request["X-Marigoldladder-Request-Id"]) + "\r\n\r\nthe answer",
                true };
        });
        configure();
        const auto reply = m_relay.send(callerRequest("POST", "/charge/x", "", "5 francs"));
        EXPECT_EQ(reply.m_status, 200);
        EXPECT_EQ(reply.m_body, "the answer");
    }

    TEST_F(UnframedAnswerTest, AWholeAnswerThatIsResetIsAFailure)
    {
        addUpstream("i-1", [](const UpstreamRequest& request) {
            return UpstreamReply { "HTTP/1.1 200 OK\r\nX-Marigoldladder-Request-Id: "
                    + std::string(request["X-Marigoldladder-Request-Id"]) + "\r\n\r\nthe ans",
                false, true };
        });
        configure();
        EXPECT_EQ(m_relay.send(callerRequest("POST", "/charge/x", "", "5 francs")).m_status, 502);
    }

} // namespace
} // namespace marigoldladder::platform
