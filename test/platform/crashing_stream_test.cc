// A stream that crashes every upstream that runs it, after its first event.
#include "platform/relay_path_fixture.h"

#include <chrono>
#include <thread>

namespace marigoldladder::platform {
namespace {

    using std::chrono::milliseconds;

    constexpr auto eventGap = milliseconds(100);

    auto event(int number) -> std::string
    {
        return "id: " + std::to_string(number) + "\ndata: x\n\n";
    }

    // Streams three events; a request to /stream/deadly crashes the upstream after the first.
    auto streamOrCrash(const UpstreamRequest& request) -> UpstreamReply
    {
        const auto isDeadly = request.target() == "/stream/deadly";
        const auto first
            = request["Last-Event-Id"].empty() ? 1 : std::stoi(std::string(request["Last-Event-Id"])) + 1;
        auto reply = UpstreamReply { streamHead(request, "stamp") + chunk(event(first)) };
        reply.m_crashesAfterwards = isDeadly;
        if (isDeadly) {
            reply.m_later = { { eventGap, "" } };
            return reply;
        }
        for (auto number = first + 1; number <= 3; ++number)
            reply.m_later.push_back({ eventGap, chunk(event(number)) });
        reply.m_later.push_back({ milliseconds(0), "0\r\n\r\n" });
        return reply;
    }

    class CrashingStreamTest : public RelayPathTest {
    protected:
        auto SetUp() -> void override
        {
            constexpr auto upstreams = 20;
            for (auto number = 0; number < upstreams; ++number) {
                m_names.push_back("i-" + std::to_string(number));
                addUpstream(m_names.back(), streamOrCrash);
            }
            configure();
        }

        auto crashes() -> std::size_t
        {
            auto count = std::size_t { 0 };
            for (const auto& name : m_names) {
                for (const auto& request : m_relay.requestsAt(name))
                    count += request.target() == "/stream/deadly" ? 1 : 0;
            }
            return count;
        }

        // Sends the deadly request again and again, always the same.
        auto sendDeadly(int times) -> void
        {
            for (auto sent = 0; sent < times; ++sent) {
                (void)m_relay.send(callerRequest("POST", "/stream/deadly", deadlyPrompt, "deadly"));
                std::this_thread::sleep_for(milliseconds(400));
            }
        }

        static constexpr auto deadlyPrompt = "X-Marigoldladder-Prompt-Prefix: a:100,dead:50\r\n";
        std::vector<std::string> m_names;
    };

    // Review 2: its first event cleared it each time, so it crashed two upstreams whenever it came.
    TEST_F(CrashingStreamTest, ReachesNoUpstreamAfterItWasRecognised)
    {
        sendDeadly(3);
        const auto before = crashes();
        EXPECT_GE(before, 3U);
        EXPECT_LE(before, 4U);
        sendDeadly(5);
        EXPECT_EQ(crashes(), before);
    }

    TEST_F(CrashingStreamTest, LeavesOtherStreamsWithTheSameSharedPartWhole)
    {
        auto served = 0;
        auto others = std::thread([&] {
            for (auto number = 0; number < 20; ++number) {
                const auto name = std::to_string(number);
                const auto prompt = "X-Marigoldladder-Prompt-Prefix: a:100,c" + name + ":50\r\n";
                const auto reply
                    = m_relay.send(callerRequest("POST", "/stream/" + name, prompt, "other " + name));
                served += reply.m_complete && reply.m_body == event(1) + event(2) + event(3) ? 1 : 0;
            }
        });
        sendDeadly(8);
        others.join();
        EXPECT_EQ(served, 20);
    }

} // namespace
} // namespace marigoldladder::platform
