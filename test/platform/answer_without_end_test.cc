// Upstreams that send bytes without end in place of an answer, as fast as they are read.
#include "platform/relay_path_fixture.h"

#include <chrono>

namespace marigoldladder::platform {
namespace {

    using std::chrono::milliseconds;

    constexpr auto routeTimeout = milliseconds(2'000); // Of the test configuration.
    constexpr auto slack = milliseconds(500); // For the final answer after the timeout.
    constexpr auto chunked = "Transfer-Encoding: chunked\r\n";
    constexpr auto unframed = "";

    enum class Framing { Chunked, Unframed };

    // Begins a stream and sends this text again and again.
    auto endlessStream(Framing framing, const std::string& text)
    {
        return [framing, text](const UpstreamRequest& request) {
            const auto isChunked = framing == Framing::Chunked;
            auto reply = UpstreamReply { streamHead(request, "endless", isChunked ? chunked : unframed) };
            reply.m_endless = isChunked ? chunk(text) : text;
            return reply;
        };
    }

    class AnswerWithoutEndTest : public RelayPathTest {
    protected:
        // Whether the caller gets a failure, or the end of its connection, by the route's timeout.
        auto expectEndInTime(const std::string& path) -> void
        {
            const auto request = callerRequest("POST", path, "Connection: close\r\n", "go");
            const auto time = m_relay.timeToEnd(request);
            ASSERT_TRUE(time) << "expected an end, but the caller was still waiting after 5 s";
            EXPECT_LT(*time, routeTimeout + slack);
        }
    };

    // No read waits while bytes are always there, so that no read timed out: the caller got no answer.
    TEST_F(AnswerWithoutEndTest, AnEventWithoutEndIsAFailureByTheRoutesTimeout)
    {
        addUpstream("i-1", endlessStream(Framing::Chunked, std::string(16'000, 'x')));
        configure();
        expectEndInTime("/once/x");
        const auto reply = m_relay.send(callerRequest("POST", "/once/x", "", "go"));
        EXPECT_EQ(reply.m_status, 502);
    }

    TEST_F(AnswerWithoutEndTest, AnUnframedEventWithoutEndIsAFailureByTheRoutesTimeout)
    {
        addUpstream("i-1", endlessStream(Framing::Unframed, std::string(16'000, 'x')));
        configure();
        expectEndInTime("/once/x");
    }

    TEST_F(AnswerWithoutEndTest, EventsWithoutEndAreCutAtTheRoutesTimeout)
    {
        for (const auto framing : { Framing::Chunked, Framing::Unframed }) {
            addUpstream("i-1", endlessStream(framing, "id: 1\ndata: " + std::string(16'000, 'x') + "\n\n"));
            configure();
            expectEndInTime("/once/x");
        }
    }

    TEST_F(AnswerWithoutEndTest, CommentsWithoutEndAreCutAtTheRoutesTimeout)
    {
        addUpstream("i-1", endlessStream(Framing::Chunked, ": " + std::string(16'000, 'x') + "\n\n"));
        configure();
        expectEndInTime("/stream/x");
    }

    TEST_F(AnswerWithoutEndTest, ChunkExtensionsWithoutEndOfABodyAreAFailureByTheRoutesTimeout)
    {
        addUpstream("i-1", [](const UpstreamRequest& request) {
            auto reply = UpstreamReply { streamHead(request, "endless", chunked) };
            reply.m_endless = "1;note=" + std::string(3'000, 'x') + "\r\nx\r\n";
            return reply;
        });
        configure();
        expectEndInTime("/plain/x");
    }

    TEST_F(AnswerWithoutEndTest, AnEventWithoutEndIsReplacedByAnotherUpstreamsAnswer)
    {
        const auto sound = [](const UpstreamRequest& request) {
            return UpstreamReply { streamHead(request, "sound") + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n" };
        };
        auto calls = std::make_shared<int>(0);
        const auto endlessFirst = [calls, sound](const UpstreamRequest& request) {
            if (++*calls > 1)
                return sound(request);
            return endlessStream(Framing::Chunked, std::string(16'000, 'x'))(request);
        };
        addUpstream("i-1", endlessFirst);
        addUpstream("i-2", endlessFirst);
        configure();
        const auto reply = m_relay.send(callerRequest("POST", "/stream/x", "", "go"));
        EXPECT_TRUE(reply.m_complete);
        EXPECT_EQ(reply.m_body, "id: 1\ndata: a\n\n");
    }

    TEST_F(AnswerWithoutEndTest, ALargeEventIsForwardedWhole)
    {
        const auto event = "id: 1\ndata: " + std::string(500'000, 'x') + "\n\n";
        addUpstream("i-1", [event](const UpstreamRequest& request) {
            return UpstreamReply { streamHead(request, "large") + chunk(event) + "0\r\n\r\n" };
        });
        configure();
        const auto reply = m_relay.send(callerRequest("POST", "/once/x", "", "go"));
        EXPECT_TRUE(reply.m_complete);
        EXPECT_EQ(reply.m_body.size(), event.size());
    }

} // namespace
} // namespace marigoldladder::platform
