// Upstreams that name the rate of requests that they take.
#include "platform/relay_path_fixture.h"

#include <atomic>
#include <chrono>
#include <thread>

namespace marigoldladder::platform {
namespace {

    constexpr auto windowLength = std::chrono::milliseconds(4'000);

    class RequestLimitTest : public RelayPathTest {
    protected:
        // An upstream that names this limit while `m_limits` is set.
        auto addLimitedUpstream(const std::string& name, const std::string& limit) -> void
        {
            addUpstream(name, [this, limit](const UpstreamRequest& request) {
                const auto headers = m_limits ? "Server-Limit: " + limit + "\r\n" : std::string();
                return UpstreamReply { answerTo(request, 200, "ok", headers) };
            });
        }

        // Sends requests one after the other; returns how many were answered with success.
        auto sendFor(std::chrono::milliseconds time) -> std::size_t
        {
            const auto until = std::chrono::steady_clock::now() + time;
            auto served = std::size_t { 0 };
            for (m_sent = 0; std::chrono::steady_clock::now() < until; ++m_sent)
                served += m_relay.send(callerRequest("GET", "/plain/x", "Connection: close\r\n")).m_status
                    == 200;
            return served;
        }

        std::atomic<bool> m_limits = true;
        std::size_t m_sent = 0;
    };

    TEST_F(RequestLimitTest, AnUpstreamGetsNoMoreThanItNamedWhileAnotherServesTheRest)
    {
        constexpr auto limit = 1.0;
        constexpr auto allowed = static_cast<std::size_t>(1.5 * limit * 4 + 5);
        addLimitedUpstream("i-1", "1.0");
        addUpstream("i-2", answerWith("ok"));
        configure();
        (void)sendFor(std::chrono::milliseconds(3'000));
        const auto before = m_relay.requestsAt("i-1").size();
        const auto served = sendFor(windowLength);
        EXPECT_LE(m_relay.requestsAt("i-1").size() - before, allowed) << "of " << m_sent << " requests";
        EXPECT_EQ(served, m_sent);
    }

    TEST_F(RequestLimitTest, TheLimitEndsWhenAnAnswerNoLongerNamesIt)
    {
        addLimitedUpstream("i-1", "0.5");
        configure();
        EXPECT_EQ(m_relay.send(callerRequest("GET", "/plain/x")).m_status, 200);
        m_limits = false;
        std::this_thread::sleep_for(std::chrono::milliseconds(2'100));
        EXPECT_EQ(m_relay.send(callerRequest("GET", "/plain/x")).m_status, 200);
        EXPECT_EQ(sendFor(std::chrono::milliseconds(500)), m_sent);
    }

} // namespace
} // namespace marigoldladder::platform
