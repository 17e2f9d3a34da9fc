// Prompts with a part that crashes every upstream that begins to answer them.
#include "platform/relay_path_fixture.h"

#include <chrono>
#include <thread>

namespace marigoldladder::platform {
namespace {

    constexpr auto deadlyPart = "dead";

    // A request whose prompt has these parts besides one of its own.
    auto promptRequest(const std::string& sharedParts) -> std::string
    {
        static auto number = 0;
        const auto own = std::to_string(100'000 + ++number);
        return callerRequest("POST", "/plain/" + own,
            "X-Marigoldladder-Prompt-Prefix: " + sharedParts + "," + own + ":10\r\n", "body " + own);
    }

    class CrashingPromptTest : public RelayPathTest {
    protected:
        auto SetUp() -> void override
        {
            constexpr auto upstreams = 30;
            for (auto number = 0; number < upstreams; ++number) {
                const auto name = "i-" + std::to_string(number);
                m_names.push_back(name);
                addUpstream(name, [](const UpstreamRequest& request) {
                    const auto parts = std::string(request["X-Marigoldladder-Prompt-Prefix"]);
                    if (parts.find(deadlyPart) != std::string::npos)
                        return UpstreamReply { "", false, false, true };
                    return UpstreamReply { answerTo(request, 200, "sound") };
                });
            }
            configure();
        }

        // Returns how many requests with the deadly part have reached upstreams; each crashed one.
        auto crashes() -> std::size_t
        {
            auto count = std::size_t { 0 };
            for (const auto& name : m_names) {
                for (const auto& request : m_relay.requestsAt(name)) {
                    const auto parts = std::string(request["X-Marigoldladder-Prompt-Prefix"]);
                    count += parts.find(deadlyPart) == std::string::npos ? 0 : 1;
                }
            }
            return count;
        }

        // Sends requests with the deadly part, no two alike, and sound ones between them, until five
        // upstreams have crashed or twelve requests were sent.
        auto sendUntilFiveCrash() -> void
        {
            constexpr auto maxRequests = 12;
            for (auto sent = 0; sent < maxRequests && crashes() < 5; ++sent) {
                (void)m_relay.send(promptRequest("a:100,dead:50"));
                (void)m_relay.send(promptRequest("a:100,b:50"));
                std::this_thread::sleep_for(std::chrono::milliseconds(100));
            }
        }

        std::vector<std::string> m_names;
    };

    TEST_F(CrashingPromptTest, APartThatCrashedFiveUpstreamsReachesNoMoreThanThree)
    {
        sendUntilFiveCrash();
        constexpr auto noticeTime = std::chrono::seconds(3);
        std::this_thread::sleep_for(noticeTime);
        const auto before = crashes();
        for (auto request = 0; request < 10; ++request)
            EXPECT_NE(m_relay.send(promptRequest("a:100,dead:50")).m_status, 200);
        EXPECT_LE(crashes() - before, 3U);
    }

    TEST_F(CrashingPromptTest, RequestsThatShareOnlyOtherPartsAreServed)
    {
        sendUntilFiveCrash();
        for (auto request = 0; request < 10; ++request)
            EXPECT_EQ(m_relay.send(promptRequest("a:100,c:50")).m_status, 200);
    }

} // namespace
} // namespace marigoldladder::platform
