// Requests through a whole node: what callers and upstreams receive, also when either side fails.
#include "platform/relay_path_fixture.h"

namespace marigoldladder::platform {
namespace {

    TEST_F(RelayPathTest, ANodeWithoutAConfigurationIsNotReadyAndRefusesRequests)
    {
        ASSERT_TRUE(m_relay.eventually([&] { return m_relay.readiness() == 503; }));
        EXPECT_EQ(m_relay.send(callerRequest("GET", "/plain/x")).m_status, 503);
    }

    TEST_F(RelayPathTest, ForwardsTheUpstreamsAnswerAndHidesTheKey)
    {
        addUpstream("i-1", answerWith("the answer"));
        configure();
        const auto reply = m_relay.send(
            callerRequest("POST", "/plain/x?y=1", "X-Marigoldladder-Tenant: forged\r\n", "the question"));
        EXPECT_EQ(reply.m_status, 200);
        EXPECT_EQ(reply.m_body, "the answer");
        EXPECT_NE(reply.m_head.find("X-Marigoldladder-Server-Stamp: stamp-1"), std::string::npos);
        EXPECT_FALSE(reply.m_closed) << "expected the connection to stay open for further requests";
        const auto seen = m_relay.requestsAt("i-1");
        ASSERT_EQ(seen.size(), 1U);
        EXPECT_EQ(seen[0].target(), "/plain/x?y=1");
        EXPECT_EQ(seen[0].body(), "the question");
        EXPECT_EQ(seen[0]["X-Marigoldladder-Tenant"], "acme");
        EXPECT_EQ(seen[0]["X-Marigoldladder-Expect-Instance"], "i-1");
        EXPECT_EQ(seen[0].count("Api-Key"), 0U);
    }

    TEST_F(RelayPathTest, RefusesUnknownKeysAndPathsButOpenRoutesNeedNoKey)
    {
        addUpstream("i-1", answerWith("ok"));
        configure();
        EXPECT_EQ(
            m_relay.send("GET /plain/x HTTP/1.1\r\nHost: h.example\r\nApi-Key: other\r\n\r\n").m_status, 401);
        EXPECT_EQ(m_relay.send(callerRequest("GET", "/elsewhere/x")).m_status, 404);
        EXPECT_EQ(
            m_relay.send("GET /open/x HTTP/1.1\r\nHost: h.example\r\nX-Marigoldladder-Request-Id: o1\r\n\r\n")
                .m_status,
            200);
    }

    TEST_F(RelayPathTest, ARevokedKeyStopsWithinTwoSeconds)
    {
        addUpstream("i-1", answerWith("ok"));
        configure();
        EXPECT_EQ(m_relay.send(callerRequest("GET", "/plain/x")).m_status, 200);
        auto revoked = testConfiguration(2);
        revoked["tenants"][0]["api_keys"] = nlohmann::json::array();
        m_relay.put("config", "main", revoked);
        std::this_thread::sleep_for(std::chrono::milliseconds(2'000));
        EXPECT_EQ(m_relay.send(callerRequest("GET", "/plain/x")).m_status, 401);
    }

    TEST_F(RelayPathTest, FollowsTheConfigurationAfterTheStoreDiscardedItsHistory)
    {
        configure();
        m_relay.discardStoreHistory();
        auto changed = testConfiguration(2);
        changed["routes"] = nlohmann::json::array();
        m_relay.put("config", "main", changed);
        EXPECT_TRUE(m_relay.eventually(
            [&] { return m_relay.send(callerRequest("GET", "/plain/x")).m_status == 404; }));
    }

    TEST_F(RelayPathTest, StaysReadyAndServesWhileTheStoreIsUnreachable)
    {
        addUpstream("i-1", answerWith("ok"));
        configure();
        m_relay.refuseStoreCalls(true);
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        EXPECT_EQ(m_relay.readiness(), 200);
        EXPECT_EQ(m_relay.send(callerRequest("GET", "/plain/x")).m_status, 200);
    }

    TEST_F(RelayPathTest, AnAtMostOnceRequestWhoseAnswerIsLostIsNotRetried)
    {
        addUpstream("i-1", [](const UpstreamRequest&) { return UpstreamReply { "", false, true }; });
        addUpstream("i-2", [](const UpstreamRequest&) { return UpstreamReply { "", false, true }; });
        configure();
        EXPECT_EQ(m_relay.send(callerRequest("POST", "/charge/x", "", "5 francs")).m_status, 502);
        EXPECT_EQ(m_relay.requestsAt("i-1").size() + m_relay.requestsAt("i-2").size(), 1U);
    }

    TEST_F(RelayPathTest, ARequestThatAnUpstreamDidNotRunIsSentToAnotherOne)
    {
        addUpstream("i-1", [](const UpstreamRequest& request) {
            return UpstreamReply { answerTo(request, 503, "", "X-Marigoldladder-Not-Executed: 1\r\n") };
        });
        addUpstream("i-2", answerWith("charged"));
        configure();
        for (auto call = 0; call < 8; ++call)
            EXPECT_EQ(m_relay.send(callerRequest("POST", "/charge/x", "", "5 francs")).m_status, 200);
    }

    TEST_F(RelayPathTest, AFailedIdempotentRequestIsRetriedAtAnotherUpstream)
    {
        addUpstream("i-1", [](const UpstreamRequest& request) {
            return UpstreamReply { answerTo(request, 500, "broken") };
        });
        addUpstream("i-2", answerWith("fine"));
        configure();
        for (auto call = 0; call < 8; ++call)
            EXPECT_EQ(m_relay.send(callerRequest("GET", "/plain/x")).m_status, 200);
    }

    TEST_F(RelayPathTest, AnUpstreamsFailureKeepsItsStatusAndStamp)
    {
        addUpstream("i-1", [](const UpstreamRequest& request) {
            return UpstreamReply { answerTo(request, 500, "broken") };
        });
        configure();
        const auto reply = m_relay.send(callerRequest("POST", "/charge/x", "", "5 francs"));
        EXPECT_EQ(reply.m_status, 500);
        EXPECT_EQ(reply.m_body, "broken");
        EXPECT_NE(reply.m_head.find("stamp-1"), std::string::npos);
    }

    TEST_F(RelayPathTest, AnAnswerToAnotherRequestIsIgnored)
    {
        addUpstream("i-1", [](const UpstreamRequest& request) {
            auto stray = UpstreamRequest();
            stray.set("X-Marigoldladder-Request-Id", "somebody-elses");
            return UpstreamReply { answerTo(stray, 200, "wrong") + answerTo(request, 200, "right") };
        });
        configure();
        EXPECT_EQ(m_relay.send(callerRequest("POST", "/charge/x", "", "5 francs")).m_body, "right");
    }

    TEST_F(RelayPathTest, ATruncatedAnswerIsReportedAsAFailure)
    {
        addUpstream("i-1", [](const UpstreamRequest& request) {
            auto bytes = answerTo(request, 200, "a long answer");
            bytes.resize(bytes.size() - 4);
            return UpstreamReply { bytes, true };
        });
        configure();
        EXPECT_EQ(m_relay.send(callerRequest("POST", "/charge/x", "", "5 francs")).m_status, 502);
    }

    // Sends two events and half of a third, then resets the connection; sends the rest to a resumed request.
    auto breakingStream(const UpstreamRequest& request) -> UpstreamReply
    {
        if (request["Last-Event-Id"].empty())
            return { streamHead(request, "first") + chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
                    + chunk("id: 3\nda"),
                false, true };
        return { streamHead(request, "second") + chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n" };
    }

    TEST_F(RelayPathTest, ABrokenStreamIsResumedAtAnotherUpstreamFromTheNextEvent)
    {
        addUpstream("i-1", breakingStream);
        addUpstream("i-2", breakingStream);
        configure();
        const auto reply = m_relay.send(callerRequest("POST", "/stream/x", "", "go"));
        EXPECT_TRUE(reply.m_complete);
        EXPECT_EQ(reply.m_body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
        EXPECT_NE(reply.m_head.find("first"), std::string::npos) << "expected the head of the first upstream";
        const auto total = m_relay.requestsAt("i-1").size() + m_relay.requestsAt("i-2").size();
        EXPECT_EQ(total, 2U);
    }

    TEST_F(RelayPathTest, ABrokenStreamThatIsNotResumableEndsAsIncomplete)
    {
        addUpstream("i-1", breakingStream);
        configure();
        const auto reply = m_relay.send(callerRequest("POST", "/once/x", "", "go"));
        EXPECT_FALSE(reply.m_complete);
        EXPECT_TRUE(reply.m_closed);
        EXPECT_EQ(reply.m_body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        EXPECT_EQ(m_relay.requestsAt("i-1").size(), 1U);
    }

    class RequestParsingTest : public RelayPathTest {
    protected:
        auto SetUp() -> void override
        {
            addUpstream("i-1", answerWith("ok"));
            configure();
        }

        // Expects an answer with this status, then a close, and no request at the upstream.
        auto expectRefused(const std::string& bytes, int status) -> void
        {
            const auto reply = m_relay.send(bytes);
            EXPECT_EQ(reply.m_status, status) << bytes.substr(0, 200);
            EXPECT_TRUE(reply.m_closed) << bytes.substr(0, 200);
            EXPECT_EQ(m_relay.requestsAt("i-1").size(), 0U);
        }
    };

    TEST_F(RequestParsingTest, RefusesTwoDifferentContentLengths)
    {
        expectRefused(
            callerRequest("POST", "/plain/x", "Content-Length: 3\r\nContent-Length: 5\r\n") + "abcde", 400);
    }

    TEST_F(RequestParsingTest, RefusesAContentLengthTogetherWithChunks)
    {
        expectRefused(callerRequest("POST", "/plain/x", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n")
                + "0\r\n\r\nGET /plain/smuggled HTTP/1.1\r\nHost: h.example\r\n\r\n",
            400);
    }

    TEST_F(RequestParsingTest, RefusesAnUnknownTransferEncoding)
    {
        expectRefused(
            callerRequest("POST", "/plain/x", "Transfer-Encoding: gzip, chunked\r\n") + "0\r\n\r\n", 400);
    }

    TEST_F(RequestParsingTest, RefusesAMalformedHead)
    {
        expectRefused("NOT HTTP AT ALL\r\n\r\nGET /plain/x HTTP/1.1\r\n\r\n", 400);
    }

    TEST_F(RequestParsingTest, RefusesTooLargeBodiesAndHeads)
    {
        expectRefused(callerRequest("POST", "/plain/x", "", std::string(10'001, 'b')), 413);
        expectRefused(callerRequest("GET", "/plain/x", "X-Long: " + std::string(8'000, 'h') + "\r\n"), 431);
    }

    TEST_F(RequestParsingTest, AcceptsAChunkedBody)
    {
        const auto reply = m_relay.send(callerRequest("POST", "/plain/x", "Transfer-Encoding: chunked\r\n")
            + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        EXPECT_EQ(reply.m_status, 200);
        ASSERT_EQ(m_relay.requestsAt("i-1").size(), 1U);
        EXPECT_EQ(m_relay.requestsAt("i-1")[0].body(), "abcde");
    }

    // Guards against a late detection: when the nodes that watched the store were partitioned from it, they
    // noticed too late for others to watch instead before a new configuration had to be in force.
    TEST_F(RelayPathTest, ANodeDetectsAnUnresponsiveStoreWithin1500Ms)
    {
        addUpstream("i-1", answerWith("ok"));
        configure();
        m_relay.stopStoreAnswers();
        const auto begun = std::chrono::steady_clock::now();
        EXPECT_TRUE(m_relay.eventually([&] { return !m_relay.isStoreReachable(); }));
        EXPECT_LT(std::chrono::steady_clock::now() - begun, std::chrono::milliseconds(1'500));
    }

} // namespace
} // namespace marigoldladder::platform
