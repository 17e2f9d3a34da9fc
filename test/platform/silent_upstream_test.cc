// Upstreams that are silent for a while: a request leaves one only if it can go on at another.
#include "platform/relay_path_fixture.h"

#include <chrono>
#include <thread>

namespace marigoldladder::platform {
namespace {

    using std::chrono::milliseconds;

    // Longer than a request waits for a silent upstream while it can go on at another.
    constexpr auto longPause = milliseconds(1'800);
    constexpr auto allEvents = std::string_view("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");

    // Sends one event, then the second one after the pause; a resumed stream only has the second one.
    auto pausingStream(const UpstreamRequest& request) -> UpstreamReply
    {
        const auto rest = chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";
        if (!request["Last-Event-Id"].empty())
            return { streamHead(request, "second"), false, false, false, { { longPause, rest } } };
        return { streamHead(request, "first") + chunk("id: 1\ndata: a\n\n"), false, false, false,
            { { longPause, rest } } };
    }

    // Sends the second event of a resumed stream at once, and the first event of another one, then nothing.
    auto unfinishedStream(const UpstreamRequest& request) -> UpstreamReply
    {
        if (!request["Last-Event-Id"].empty())
            return { streamHead(request, "second") + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n" };
        return { streamHead(request, "first") + chunk("id: 1\ndata: a\n\n") };
    }

    // Refuses the request as not run.
    auto refusal(const UpstreamRequest& request) -> UpstreamReply
    {
        return { answerTo(request, 503, "", "X-Marigoldladder-Not-Executed: 1\r\n") };
    }

    using ReplyFunction = std::function<UpstreamReply(const UpstreamRequest&)>;

    // Has all upstreams together answer the first request by the first function, and all later ones by the
    // other.
    auto firstAndLater(ReplyFunction first, ReplyFunction later) -> ReplyFunction
    {
        auto calls = std::make_shared<int>(0);
        return [calls, first = std::move(first), later = std::move(later)](const UpstreamRequest& request) {
            return ++*calls == 1 ? first(request) : later(request);
        };
    }

    auto lateAnswer(milliseconds pause)
    {
        return [pause](const UpstreamRequest& request) {
            return UpstreamReply { "", false, false, false, { { pause, answerTo(request, 200, "late") } } };
        };
    }

    class SilentUpstreamTest : public RelayPathTest {
    protected:
        // Writes a configuration in which requests may take longer than they wait for a silent upstream.
        auto configurePatiently() -> void
        {
            auto configuration = testConfiguration(1);
            for (auto& route : configuration["routes"]) {
                route["timeout_ms"] = 4'500;
                route["gap_target_ms"] = 250;
            }
            m_relay.put("config", "main", configuration);
            ASSERT_TRUE(m_relay.eventually([&] { return m_relay.readiness() == 200; }));
        }

        // Sends a request that may take 4.5 s.
        auto send(const std::string& method, const std::string& path) -> CallerReply
        {
            auto bytes = callerRequest(method, path, "", method == "POST" ? "go" : "");
            const auto deadline = std::string("Deadline-Ms: 3000");
            bytes.replace(bytes.find(deadline), deadline.size(), "Deadline-Ms: 4500");
            return m_relay.send(bytes);
        }

        auto expectWholeStream(const CallerReply& reply) -> void
        {
            EXPECT_EQ(reply.m_status, 200);
            EXPECT_EQ(reply.m_body, allEvents);
            EXPECT_TRUE(reply.m_complete) << "expected the answer to go on after the pause";
        }

        auto addUpstreams(const ReplyFunction& reply) -> void
        {
            addUpstream("i-1", reply);
            addUpstream("i-2", reply);
            configurePatiently();
        }

        auto requestsReceived() -> std::size_t
        {
            return m_relay.requestsAt("i-1").size() + m_relay.requestsAt("i-2").size();
        }
    };

    TEST_F(SilentUpstreamTest, AStreamGoesOnAfterAPauseOfTheOnlyUpstream)
    {
        addUpstream("i-1", pausingStream);
        configurePatiently();
        expectWholeStream(send("POST", "/stream/x"));
        EXPECT_EQ(m_relay.requestsAt("i-1").size(), 1U);
    }

    TEST_F(SilentUpstreamTest, AStreamGoesOnAfterAPauseWhenTheRetryBudgetIsSpent)
    {
        addUpstream("i-1", pausingStream);
        addUpstream("i-2", pausingStream);
        configurePatiently();
        m_relay.forbidRetries();
        expectWholeStream(send("POST", "/stream/x"));
        EXPECT_EQ(requestsReceived(), 1U);
    }

    TEST_F(SilentUpstreamTest, AStreamGoesOnAfterAPauseOfTheLastUpstreamAllowed)
    {
        addUpstream("i-1", pausingStream);
        addUpstream("i-2", pausingStream);
        addUpstream("i-3", pausingStream);
        configurePatiently();
        expectWholeStream(send("POST", "/stream/x"));
        EXPECT_EQ(requestsReceived() + m_relay.requestsAt("i-3").size(), 2U);
    }

    TEST_F(SilentUpstreamTest, AStreamGoesOnAtAnotherUpstreamWhileOneIsSilent)
    {
        addUpstream("i-1", unfinishedStream);
        addUpstream("i-2", unfinishedStream);
        configurePatiently();
        expectWholeStream(send("POST", "/stream/x"));
        EXPECT_EQ(requestsReceived(), 2U);
    }

    TEST_F(SilentUpstreamTest, AStreamGoesOnAtAnUpstreamThatStartsDuringTheSilence)
    {
        addUpstream("i-1", unfinishedStream);
        configurePatiently();
        auto reply = std::async(std::launch::async, [&] { return send("POST", "/stream/x"); });
        std::this_thread::sleep_for(milliseconds(2'000));
        addUpstream("i-2", unfinishedStream);
        expectWholeStream(reply.get());
        EXPECT_EQ(m_relay.requestsAt("i-2").size(), 1U);
    }

    // The run at the silent upstream was given up for a place that was only assumed, and the answer was cut.
    TEST_F(SilentUpstreamTest, AStreamStaysWhileOtherUpstreamsRefuseIt)
    {
        addUpstreams(firstAndLater(pausingStream, refusal));
        expectWholeStream(send("POST", "/stream/x"));
        EXPECT_EQ(requestsReceived(), 2U);
    }

    TEST_F(SilentUpstreamTest, AnIdempotentRequestStaysWhileOtherUpstreamsRefuseIt)
    {
        addUpstreams(firstAndLater(lateAnswer(milliseconds(1'500)), refusal));
        const auto reply = send("GET", "/plain/x");
        EXPECT_EQ(reply.m_status, 200);
        EXPECT_EQ(reply.m_body, "late");
    }

    TEST_F(SilentUpstreamTest, AStreamStaysWhileOtherUpstreamsAreSilentToo)
    {
        const auto silence = [](const UpstreamRequest&) { return UpstreamReply {}; };
        addUpstreams(firstAndLater(pausingStream, silence));
        expectWholeStream(send("POST", "/stream/x"));
    }

    // An upstream may send a head before it begins to run the request.
    TEST_F(SilentUpstreamTest, AStreamStaysWhileAnotherUpstreamHasSentOnlyAHead)
    {
        const auto head
            = [](const UpstreamRequest& request) { return UpstreamReply { streamHead(request, "second") }; };
        addUpstreams(firstAndLater(pausingStream, head));
        expectWholeStream(send("POST", "/stream/x"));
    }

    TEST_F(SilentUpstreamTest, AStreamGoesOnAtTheUpstreamThatWasAskedWhenTheSilentOneBreaks)
    {
        const auto breaking = [](const UpstreamRequest& request) {
            auto reply = UpstreamReply { streamHead(request, "first") + chunk("id: 1\ndata: a\n\n") };
            reply.m_later = { { milliseconds(1'600), ": broken\n" } };
            reply.m_resets = true;
            return reply;
        };
        const auto late = [](const UpstreamRequest& request) {
            EXPECT_EQ(request["Last-Event-Id"], "1");
            const auto rest = chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";
            return UpstreamReply { streamHead(request, "second"), false, false, false,
                { { milliseconds(1'000), rest } } };
        };
        addUpstreams(firstAndLater(breaking, late));
        expectWholeStream(send("POST", "/stream/x"));
        EXPECT_EQ(requestsReceived(), 2U) << "expected no third run";
    }

    // Streams older than the longest wait for a slot had none at all left, far from their deadline.
    TEST_F(SilentUpstreamTest, AnOldStreamThatBreaksWaitsForAPlace)
    {
        auto calls = std::make_shared<int>(0);
        addUpstream("i-1", [calls](const UpstreamRequest& request) {
            constexpr auto pause = milliseconds(800);
            if (++*calls == 1) {
                auto reply = UpstreamReply { streamHead(request, "first") };
                for (auto number = 0; number < 4; ++number)
                    reply.m_later.push_back({ pause, chunk("id: 1\ndata: a\n\n") });
                reply.m_resets = true;
                return reply;
            }
            if (*calls == 2)
                return refusal(request);
            return UpstreamReply { streamHead(request, "later") + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n" };
        });
        configurePatiently();
        const auto reply = send("POST", "/stream/x");
        EXPECT_TRUE(reply.m_complete);
        EXPECT_TRUE(reply.m_body.ends_with("id: 2\ndata: b\n\n"));
    }

    TEST_F(SilentUpstreamTest, AStreamOfASilentUpstreamEndsAtTheDeadline)
    {
        addUpstream("i-1", unfinishedStream);
        configurePatiently();
        const auto sentAt = std::chrono::steady_clock::now();
        const auto reply = send("POST", "/stream/x");
        EXPECT_FALSE(reply.m_complete);
        EXPECT_TRUE(reply.m_closed);
        EXPECT_GT(std::chrono::steady_clock::now() - sentAt, milliseconds(4'000));
    }

    TEST_F(SilentUpstreamTest, AnIdempotentRequestIsAnsweredLateByTheOnlyUpstream)
    {
        addUpstream("i-1", lateAnswer(milliseconds(1'500)));
        configurePatiently();
        const auto reply = send("GET", "/plain/x");
        EXPECT_EQ(reply.m_status, 200);
        EXPECT_EQ(reply.m_body, "late");
        EXPECT_EQ(m_relay.requestsAt("i-1").size(), 1U);
    }

    TEST_F(SilentUpstreamTest, AnIdempotentRequestIsAnsweredLateWhenTheRetryBudgetIsSpent)
    {
        addUpstream("i-1", lateAnswer(milliseconds(1'500)));
        addUpstream("i-2", lateAnswer(milliseconds(1'500)));
        configurePatiently();
        m_relay.forbidRetries();
        EXPECT_EQ(send("GET", "/plain/x").m_status, 200);
        EXPECT_EQ(requestsReceived(), 1U);
    }

    TEST_F(SilentUpstreamTest, AnIdempotentRequestGoesOnAtAnotherUpstreamWhileOneIsSilent)
    {
        auto calls = std::make_shared<int>(0);
        const auto silentFirst = [calls](const UpstreamRequest& request) {
            return ++*calls == 1 ? UpstreamReply {} : UpstreamReply { answerTo(request, 200, "fine") };
        };
        addUpstream("i-1", silentFirst);
        addUpstream("i-2", silentFirst);
        configurePatiently();
        EXPECT_EQ(send("GET", "/plain/x").m_body, "fine");
        EXPECT_EQ(requestsReceived(), 2U);
    }

    TEST_F(SilentUpstreamTest, ASilentUpstreamWithoutASubstituteIsAvoidedByLaterRequests)
    {
        auto calls = std::make_shared<int>(0);
        const auto silentFirst = [calls](const UpstreamRequest& request) {
            return ++*calls == 1 ? UpstreamReply {} : UpstreamReply { answerTo(request, 200, "fine") };
        };
        addUpstream("i-1", silentFirst);
        configurePatiently();
        m_relay.forbidRetries();
        auto first = std::async(std::launch::async, [&] { return send("GET", "/plain/x"); });
        std::this_thread::sleep_for(milliseconds(1'000));
        addUpstream("i-2", answerWith("fine"));
        for (auto call = 0; call < 3; ++call)
            EXPECT_EQ(send("GET", "/plain/x").m_status, 200);
        EXPECT_EQ(m_relay.requestsAt("i-1").size(), 1U);
        EXPECT_EQ(first.get().m_status, 504);
    }

} // namespace
} // namespace marigoldladder::platform
