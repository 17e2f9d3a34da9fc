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

    // The upstream answers before it has read the body and resets the connection meanwhile. The write of the
    // request took the connection's error, so that the answer seemed to end as it should.
    class ResetDuringUploadTest : public UnframedAnswerTest {
    protected:
        // Sends a request whose body doesn't fit the buffers on the way.
        auto upload(const std::string& path, const std::string& early = "Fake-Answers-Early: 1\r\n")
            -> CallerReply
        {
            auto configuration = testConfiguration(1);
            configuration["limits"]["max_body_bytes"] = 20'000'000;
            m_relay.put("config", "main", configuration);
            EXPECT_TRUE(m_relay.eventually([&] { return m_relay.readiness() == 200; }));
            auto body = std::string();
            body.resize(16'000'000, 'x');
            return m_relay.send(callerRequest("POST", path, early, body));
        }

        static auto resetWholeAnswer(const UpstreamRequest& request) -> UpstreamReply
        {
            return { "HTTP/1.1 200 OK\r\nX-Marigoldladder-Request-Id: "
                    + std::string(request["X-Marigoldladder-Request-Id"]) + "\r\n\r\nthe ans",
                false, true };
        }

        // Two events of three; a resumed stream has the third one and ends as it should.
        static auto resetStream(const UpstreamRequest& request) -> UpstreamReply
        {
            if (!request["Last-Event-Id"].empty())
                return { streamHead(request, "second") + chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n" };
            return { streamHead(request, "first", "") + "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false, true };
        }
    };

    TEST_F(ResetDuringUploadTest, AWholeAnswerIsAFailure)
    {
        addUpstream("i-1", resetWholeAnswer);
        EXPECT_EQ(upload("/charge/x").m_status, 502);
        EXPECT_EQ(upload("/plain/x").m_status, 502);
    }

    TEST_F(ResetDuringUploadTest, AStreamIsBrokenOff)
    {
        addUpstream("i-1", resetStream);
        const auto reply = upload("/once/x");
        EXPECT_FALSE(reply.m_complete);
        EXPECT_TRUE(reply.m_closed || reply.m_status >= 500);
    }

    TEST_F(ResetDuringUploadTest, AStreamIsResumedAtAnotherUpstream)
    {
        addUpstream("i-1", resetStream);
        addUpstream("i-2", resetStream);
        const auto reply = upload("/stream/x");
        EXPECT_TRUE(reply.m_complete);
        EXPECT_EQ(reply.m_body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    }

    // The opposite: all of a request that was read may be answered until the connection ends.
    TEST_F(ResetDuringUploadTest, AnAnswerToARequestThatWasReadIsWhole)
    {
        addUpstream("i-1", [](const UpstreamRequest& request) {
            auto reply = resetWholeAnswer(request);
            reply.m_resets = false;
            reply.m_closes = true;
            return reply;
        });
        const auto reply = upload("/charge/x", "");
        EXPECT_EQ(reply.m_status, 200);
        EXPECT_EQ(reply.m_body, "the ans");
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
