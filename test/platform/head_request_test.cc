// Answers to HEAD, which end with their head.
#include "platform/relay_path_fixture.h"

namespace marigoldladder::platform {
namespace {

    class HeadRequestTest : public RelayPathTest {
    protected:
        // Sends HEAD and expects a head with this status and nothing behind it.
        auto expectHeadOnly(const std::string& path, int status, const std::string& headers = "") -> void
        {
            const auto reply = m_relay.send(callerRequest("HEAD", path, headers + "Connection: close\r\n"));
            EXPECT_EQ(reply.m_status, status) << path;
            EXPECT_EQ(reply.m_rest, "") << path << ": expected no body behind " << reply.m_head;
        }
    };

    // A body in answer to HEAD stands where the next answer is due, so that the caller takes it for that.
    TEST_F(HeadRequestTest, ARefusalHasNoBody)
    {
        configure();
        expectHeadOnly("/unknown/x", 404);
        expectHeadOnly("/plain/x", 503);
        expectHeadOnly("/plain/x", 400, "Transfer-Encoding: odd\r\n");
    }

    TEST_F(HeadRequestTest, AnUpstreamsAnswerHasNoBody)
    {
        addUpstream("i-1", [](const UpstreamRequest& request) {
            const auto answer = answerTo(request, 200, "unsent");
            return UpstreamReply { answer.substr(0, answer.size() - std::string("unsent").size()) };
        });
        configure();
        expectHeadOnly("/plain/x", 200);
        expectHeadOnly("/stream/x", 200);
    }

    TEST_F(HeadRequestTest, AnUpstreamsFailureHasNoBody)
    {
        addUpstream("i-1", [](const UpstreamRequest& request) {
            return UpstreamReply { answerTo(request, 500, ""), true };
        });
        configure();
        expectHeadOnly("/plain/x", 500);
    }

    TEST_F(HeadRequestTest, ALostAnswerHasNoBody)
    {
        addUpstream("i-1", [](const UpstreamRequest&) { return UpstreamReply { "", false, true }; });
        configure();
        expectHeadOnly("/charge/x", 502);
    }

} // namespace
} // namespace marigoldladder::platform
