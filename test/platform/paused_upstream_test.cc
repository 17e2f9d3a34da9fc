// Upstreams that turn requests away and say for how long they want none.
#include "platform/relay_path_fixture.h"

#include <chrono>
#include <thread>

namespace marigoldladder::platform {
namespace {

    using std::chrono::milliseconds;

    class PausedUpstreamTest : public RelayPathTest {
    protected:
        // An upstream that refuses every request and wants none for this time.
        auto addRefusingUpstream(const std::string& name, const std::string& retryAfter) -> void
        {
            addUpstream(name, [retryAfter](const UpstreamRequest& request) {
                return UpstreamReply { answerTo(request, 503, "",
                    "X-Marigoldladder-Not-Executed: 1\r\nRetry-After: " + retryAfter + "\r\n") };
            });
        }

        auto sendFor(milliseconds time) -> void
        {
            const auto until = std::chrono::steady_clock::now() + time;
            while (std::chrono::steady_clock::now() < until) {
                EXPECT_EQ(
                    m_relay.send(callerRequest("GET", "/plain/x", "Connection: close\r\n")).m_status, 200);
            }
        }
    };

    TEST_F(PausedUpstreamTest, AnUpstreamGetsNoRequestUntilTheTimeThatItNamedIsOver)
    {
        addRefusingUpstream("i-1", "1.5");
        addUpstream("i-2", answerWith("ok"));
        configure();
        sendFor(milliseconds(1'300));
        EXPECT_EQ(m_relay.requestsAt("i-1").size(), 1U);
        sendFor(milliseconds(700));
        EXPECT_EQ(m_relay.requestsAt("i-1").size(), 2U) << "after the time was over";
    }

    TEST_F(PausedUpstreamTest, ItsEntryReturningDoesNotEndTheTime)
    {
        addRefusingUpstream("i-1", "30");
        addUpstream("i-2", answerWith("ok"));
        configure();
        sendFor(milliseconds(200));
        m_relay.removeUpstream("i-1");
        m_relay.rewriteUpstream("i-1", {});
        sendFor(milliseconds(200));
        EXPECT_EQ(m_relay.requestsAt("i-1").size(), 1U);
    }

    TEST_F(PausedUpstreamTest, ARequestThatNoUpstreamTakesInTimeIsRefusedAtOnceWithTheTime)
    {
        addRefusingUpstream("i-1", "30");
        configure();
        (void)m_relay.send(callerRequest("GET", "/plain/x"));
        const auto sentAt = std::chrono::steady_clock::now();
        const auto reply = m_relay.send(callerRequest("GET", "/plain/x", "Connection: close\r\n"));
        const auto time = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - sentAt);
        EXPECT_EQ(reply.m_status, 503);
        EXPECT_LT(time, milliseconds(500));
        EXPECT_NE(reply.m_head.find("Retry-After: "), std::string::npos) << reply.m_head;
        EXPECT_EQ(reply.m_head.find("Retry-After: 1\r"), std::string::npos) << reply.m_head;
        EXPECT_EQ(m_relay.requestsAt("i-1").size(), 1U);
    }

} // namespace
} // namespace marigoldladder::platform
