// Callers that send a request so slowly that the node refuses it.
#include "platform/relay_path_fixture.h"

namespace marigoldladder::platform {
namespace {

    class SlowCallerTest : public RelayPathTest {
    protected:
        SlowCallerTest()
        {
            auto configuration = testConfiguration(1);
            configuration["limits"]["header_timeout_ms"] = 300;
            m_relay.put("config", "main", configuration);
            EXPECT_TRUE(m_relay.eventually([&] { return m_relay.readiness() == 200; }));
        }
    };

    TEST_F(SlowCallerTest, ARequestWhoseHeadCameTooSlowlyIsAnsweredAsNotRun)
    {
        const auto request = callerRequest("POST", "/charge/x", "", "5 francs");
        const auto reply = m_relay.send(request.substr(0, request.find("Api-Key")));
        EXPECT_EQ(reply.m_status, 408) << "expected a refusal before the connection is closed";
        EXPECT_TRUE(reply.m_complete);
        EXPECT_NE(reply.m_body.find("not_run"), std::string::npos) << reply.m_body;
        EXPECT_TRUE(reply.m_closed);
    }

} // namespace
} // namespace marigoldladder::platform
