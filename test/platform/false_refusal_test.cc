// Answers that promise that a request that may run once has not run: they are given only if that is known.
#include "platform/relay_path_fixture.h"

namespace marigoldladder::platform {
namespace {

    constexpr auto keepAliveHeader = "Keep-Alive: timeout=30\r\n";

    class FalseRefusalTest : public RelayPathTest {
    protected:
        auto addAnsweringUpstream(const std::string& name, int status) -> void
        {
            addUpstream(name, [status](const UpstreamRequest& request) {
                return UpstreamReply { answerTo(request, status, "said so", keepAliveHeader) };
            });
        }

        auto runsOf(const std::string& name) -> std::size_t { return m_relay.requestsAt(name).size(); }
    };

    TEST_F(FalseRefusalTest, AnUpstreamsFailureThatSoundsLikeARefusalIsNoneWhereTheRequestRunsOnce)
    {
        for (const auto status : { 408, 429, 503 }) {
            const auto name = "i-" + std::to_string(status);
            addAnsweringUpstream(name, status);
            configure(static_cast<std::uint64_t>(status));
            for (const auto* path : { "/charge/x", "/once/x" }) {
                const auto runs = runsOf(name);
                const auto reply = m_relay.send(callerRequest("POST", path, "", "5 francs"));
                EXPECT_EQ(runsOf(name), runs + 1) << path;
                EXPECT_EQ(reply.m_status, 502) << path << " at an upstream that answers " << status;
                EXPECT_EQ(reply.m_head.find("stamp-1"), std::string::npos)
                    << "expected no stamp on an answer with another status than the upstream's";
            }
            m_relay.removeUpstream(name);
        }
    }

    TEST_F(FalseRefusalTest, AnIdempotentRequestKeepsSuchAFailureOfItsUpstream)
    {
        addAnsweringUpstream("i-1", 503);
        configure();
        const auto reply = m_relay.send(callerRequest("GET", "/plain/x"));
        EXPECT_EQ(reply.m_status, 503);
        EXPECT_NE(reply.m_head.find("stamp-1"), std::string::npos);
    }

} // namespace
} // namespace marigoldladder::platform
