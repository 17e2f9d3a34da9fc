// Issue 43: streams held events from upstreams of two versions of their software.
#include "platform/relay_path_fixture.h"

namespace marigoldladder::platform {
namespace {

    // Which upstream, of those that a test adds, gets the request.
    enum class Call { First, Later };

    class SkewedSoftwareTest : public RelayPathTest {
    protected:
        // The upstream called first sends an event and breaks off; one that resumes the stream sends the
        // rest.
        auto addBreaking(const std::string& name, const std::string& version) -> void
        {
            const auto reply = [this, version](const UpstreamRequest& request) {
                const auto call = std::exchange(m_call, Call::Later);
                if (call == Call::First)
                    m_firstVersion = version;
                const auto text = version + " from " + std::string(request["Last-Event-Id"]);
                if (call == Call::First)
                    return UpstreamReply {
                        streamHead(request, version) + chunk("id: 1\ndata: " + text + "\n\n"), false, true
                    };
                return UpstreamReply { streamHead(request, version) + chunk("id: 2\ndata: " + text + "\n\n")
                    + "0\r\n\r\n" };
            };
            m_relay.addUpstream(name, "pool", reply, nlohmann::json::array(), version);
        }

        auto sendStream(const std::string& headers = "") -> CallerReply
        {
            return m_relay.send(callerRequest("POST", "/stream/x", headers, "go"));
        }

        auto beginStream(const std::string& id) -> CallerReply
        {
            return m_relay.send("POST /stream/x HTTP/1.1\r\nHost: h.example\r\n"
                                "X-Marigoldladder-Request-Id: "
                + id
                + "\r\nX-Marigoldladder-Deadline-Ms: 3000\r\nApi-Key: key-1\r\n"
                  "Content-Length: 2\r\n\r\ngo");
        }

        auto takeUp(const std::string& id) -> CallerReply
        {
            return sendStream("Last-Event-Id: 1\r\nResumes: " + id + "\r\n");
        }

        Call m_call = Call::First;
        std::string m_firstVersion; // Of the upstream called first.
    };

    TEST_F(SkewedSoftwareTest, AStreamGoesOnOnlyAtTheVersionThatBeganIt)
    {
        addBreaking("i-1", "v1");
        addBreaking("i-2", "v2");
        addBreaking("i-3", "v1");
        addBreaking("i-4", "v2");
        configure();
        for (auto stream = 0; stream < 6; ++stream) {
            m_call = Call::First;
            const auto reply = sendStream();
            EXPECT_TRUE(reply.m_complete);
            EXPECT_EQ(reply.m_body,
                "id: 1\ndata: " + m_firstVersion + " from \n\nid: 2\ndata: " + m_firstVersion
                    + " from 1\n\n");
        }
    }

    TEST_F(SkewedSoftwareTest, AStreamEndsAsBrokenIfOnlyAnotherVersionIsLeft)
    {
        addUpstream("i-1", [](const UpstreamRequest& request) {
            auto reply = UpstreamReply { streamHead(request, "v1") + chunk("id: 1\ndata: a\n\n") };
            reply.m_crashesAfterwards = true;
            return reply;
        });
        configure();
        auto stream = std::async(std::launch::async, [this] { return sendStream(); });
        ASSERT_TRUE(m_relay.eventually([&] { return m_relay.requestsAt("i-1").size() == 1; }));
        m_call = Call::Later;
        addBreaking("i-2", "v2");
        const auto reply = stream.get();
        EXPECT_FALSE(reply.m_complete);
        EXPECT_EQ(reply.m_body, "id: 1\ndata: a\n\n");
        EXPECT_TRUE(m_relay.requestsAt("i-2").empty());
    }

    // The version that began a stream is taken from the attempt that the caller names, whatever serves it
    // now.
    TEST_F(SkewedSoftwareTest, AStreamThatItsCallerTakesUpGoesOnAtTheVersionThatBeganIt)
    {
        addBreaking("i-1", "v1");
        addBreaking("i-2", "v2");
        configure();
        for (auto stream = 0; stream < 6; ++stream) {
            m_call = Call::First;
            m_relay.forbidRetries();
            const auto id = "began-" + std::to_string(stream);
            ASSERT_FALSE(beginStream(id).m_complete);
            const auto goesOn = takeUp(id);
            EXPECT_EQ(goesOn.m_status, 200);
            EXPECT_EQ(goesOn.m_body, "id: 2\ndata: " + m_firstVersion + " from 1\n\n");
        }
    }

    TEST_F(SkewedSoftwareTest, AStreamOfWhichNobodyKnowsTheVersionIsRefusedAtOnce)
    {
        addBreaking("i-1", "v1");
        addBreaking("i-2", "v2");
        configure();
        for (const auto* headers : { "Last-Event-Id: 1\r\nResumes: unknown\r\n", "Last-Event-Id: 1\r\n",
                 "Last-Event-Id: 1\r\nResumes: \r\n" }) {
            const auto reply = sendStream(headers);
            EXPECT_EQ(reply.m_status, 503) << headers;
            EXPECT_NE(reply.m_head.find("Retry-After"), std::string::npos);
        }
        const auto requests = m_relay.requestsAt("i-1").size() + m_relay.requestsAt("i-2").size();
        EXPECT_EQ(requests, 0U);
    }

    TEST_F(SkewedSoftwareTest, AStreamGoesOnAnywhereWhileThereIsOneVersion)
    {
        m_call = Call::Later;
        addBreaking("i-1", "v1");
        addBreaking("i-2", "v1");
        configure();
        // Once the node knows that nothing else has served before.
        ASSERT_TRUE(m_relay.eventually([&] { return takeUp("unknown").m_status == 200; }));
        EXPECT_EQ(takeUp("unknown").m_body, "id: 2\ndata: v1 from 1\n\n");
    }

    // Issue 61: an upstream had started anew as another version, and its entry told of the run before.
    TEST_F(SkewedSoftwareTest, AStreamGoesOnNowhereAtARunThatTheEntryDoesNotTellOf)
    {
        addBreaking("i-1", "v1");
        m_relay.stateRun("i-1", 7);
        m_relay.rewriteUpstream("i-1", { { "born", 7 } });
        configure();
        m_relay.forbidRetries();
        const auto began = beginStream("began");
        ASSERT_FALSE(began.m_complete);
        m_relay.removeUpstream("i-1");
        addBreaking("i-2", "v2");
        m_relay.stateRun("i-2", 9);
        m_relay.rewriteUpstream("i-2", { { "version", "v1" }, { "born", 8 } });
        EXPECT_NE(takeUp("began").m_status, 200);
        EXPECT_TRUE(m_relay.requestsAt("i-2").empty());
        EXPECT_EQ(m_relay.counter(Counter::OutdatedEntries), 1U);
    }

    TEST_F(SkewedSoftwareTest, AStreamOfARunThatNoEntryTellsOfGoesOnAtThatRunOnly)
    {
        addBreaking("i-1", "v2");
        m_relay.stateRun("i-1", 9);
        m_relay.rewriteUpstream("i-1", { { "version", "v1" }, { "born", 8 } });
        configure();
        m_relay.forbidRetries();
        const auto began = beginStream("began");
        ASSERT_EQ(began.m_status, 200);
        ASSERT_FALSE(began.m_complete);
        addBreaking("i-2", "v1");
        EXPECT_EQ(takeUp("began").m_body, "id: 2\ndata: v2 from 1\n\n");
        m_relay.removeUpstream("i-1");
        EXPECT_EQ(takeUp("began").m_status, 503);
        EXPECT_TRUE(m_relay.requestsAt("i-2").empty());
    }

    TEST_F(SkewedSoftwareTest, AStreamOfARunThatNoEntryToldOfGoesOnAtItsSoftwareOnceOneDoes)
    {
        addBreaking("i-1", "v2");
        m_relay.stateRun("i-1", 9);
        m_relay.rewriteUpstream("i-1", { { "version", "v1" }, { "born", 8 } });
        configure();
        m_relay.forbidRetries();
        ASSERT_FALSE(beginStream("began").m_complete);
        addBreaking("i-2", "v2");
        m_relay.rewriteUpstream("i-1", { { "version", "v2" }, { "born", 9 } });
        m_relay.removeUpstream("i-1");
        EXPECT_EQ(takeUp("began").m_body, "id: 2\ndata: v2 from 1\n\n");
        EXPECT_EQ(m_relay.requestsAt("i-2").size(), 1U);
    }

    // A new stream loses nothing by an entry that is late.
    TEST_F(SkewedSoftwareTest, ANewStreamBeginsAtARunThatTheEntryDoesNotTellOf)
    {
        m_call = Call::Later;
        addBreaking("i-1", "v2");
        m_relay.stateRun("i-1", 9);
        m_relay.rewriteUpstream("i-1", { { "version", "v1" }, { "born", 8 } });
        configure();
        EXPECT_EQ(sendStream().m_status, 200);
    }

    TEST_F(SkewedSoftwareTest, AnUpstreamIsAskedForItsRunOnceAConnection)
    {
        m_call = Call::Later;
        addBreaking("i-1", "v1");
        m_relay.stateRun("i-1", 7);
        m_relay.rewriteUpstream("i-1", { { "born", 7 } });
        configure();
        for (auto stream = 0; stream < 3; ++stream)
            EXPECT_TRUE(sendStream().m_complete);
        EXPECT_EQ(m_relay.counter(Counter::RunsAsked), m_relay.counter(Counter::UpstreamConnects));
    }

    TEST_F(SkewedSoftwareTest, ANewStreamBeginsAtAnyVersion)
    {
        m_call = Call::Later;
        addBreaking("i-1", "v1");
        addBreaking("i-2", "v2");
        configure();
        EXPECT_EQ(sendStream("Resumes: unknown\r\n").m_status, 200) << "expected it to begin anew";
    }

} // namespace
} // namespace marigoldladder::platform
