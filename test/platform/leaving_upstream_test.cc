// Upstreams that say in their answers that they leave.
#include "platform/relay_path_fixture.h"

#include <atomic>

namespace marigoldladder::platform {
namespace {

    class LeavingUpstreamTest : public RelayPathTest {
    protected:
        // An upstream whose answers have this status and say that it leaves while `m_leaves` is set.
        auto addLeavingUpstream(const std::string& name, int status, const std::string& headers = "") -> void
        {
            addUpstream(name, [this, status, headers](const UpstreamRequest& request) {
                const auto leaving = m_leaves ? std::string("Server-Leaving: 1\r\n") : std::string();
                return UpstreamReply { answerTo(request, status, "ok", leaving + headers) };
            });
        }

        // Sends idempotent requests; all of them have to be served.
        auto sendMany() -> void
        {
            constexpr auto requests = 20;
            for (auto request = 0; request < requests; ++request)
                EXPECT_EQ(m_relay.send(callerRequest("GET", "/plain/x")).m_status, 200);
        }

        std::atomic<bool> m_leaves = true;
    };

    TEST_F(LeavingUpstreamTest, AnUpstreamThatSaidSoGetsNoFurtherRequest)
    {
        addLeavingUpstream("i-1", 200);
        addUpstream("i-2", answerWith("ok"));
        configure();
        sendMany();
        EXPECT_LE(m_relay.requestsAt("i-1").size(), 1U);
    }

    TEST_F(LeavingUpstreamTest, AnUpstreamThatSaidSoInARefusalGetsNoFurtherRequest)
    {
        addLeavingUpstream("i-1", 503, "X-Marigoldladder-Not-Executed: 1\r\n");
        addUpstream("i-2", answerWith("ok"));
        configure();
        sendMany();
        EXPECT_LE(m_relay.requestsAt("i-1").size(), 1U);
    }

    TEST_F(LeavingUpstreamTest, ItsStoreEntryDoesNotMakeItAvailableAgain)
    {
        addLeavingUpstream("i-1", 200);
        configure();
        EXPECT_EQ(m_relay.send(callerRequest("GET", "/plain/x")).m_status, 200);
        addUpstream("i-2", answerWith("ok"));
        m_relay.rewriteUpstream("i-1", {});
        sendMany();
        EXPECT_EQ(m_relay.requestsAt("i-1").size(), 1U) << "after its entry was written again as ready";
        m_relay.removeUpstream("i-1");
        m_relay.rewriteUpstream("i-1", {});
        sendMany();
        EXPECT_EQ(m_relay.requestsAt("i-1").size(), 1U) << "after its entry was removed and written again";
    }

    TEST_F(LeavingUpstreamTest, ItsNextRunGetsRequests)
    {
        addLeavingUpstream("i-1", 200);
        configure();
        EXPECT_EQ(m_relay.send(callerRequest("GET", "/plain/x")).m_status, 200);
        EXPECT_EQ(m_relay.send(callerRequest("GET", "/plain/x")).m_status, 503);
        m_leaves = false;
        m_relay.rewriteUpstream("i-1", { { "born", 1'700'000'000'000 } });
        sendMany();
    }

} // namespace
} // namespace marigoldladder::platform
