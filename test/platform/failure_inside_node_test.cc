// Requests during which a part of the node itself throws an exception.
#include "platform/relay_path_fixture.h"

#include <stdexcept>

namespace marigoldladder::platform {
namespace {

    class FailureInsideNodeTest : public RelayPathTest {
    protected:
        // Expects a whole answer and no closed connection, although the node failed.
        auto expectFailure(const std::string& request) -> void
        {
            const auto before = m_relay.counter(Counter::InternalFailures);
            const auto reply = m_relay.send(request);
            EXPECT_EQ(reply.m_status, 502) << reply.m_head;
            EXPECT_TRUE(reply.m_complete);
            EXPECT_NE(reply.m_body.find("may_have_run"), std::string::npos) << reply.m_body;
            EXPECT_EQ(m_relay.counter(Counter::InternalFailures), before + 1);
        }
    };

    // Issue 47: an exception out of a handler that is no coroutine ended the process, with all its requests.
    TEST_F(FailureInsideNodeTest, AnExceptionOutOfAnEventEndsNoRequest)
    {
        addUpstream("i-1", [this](const UpstreamRequest& request) {
            m_relay.throwInEvent();
            return UpstreamReply { answerTo(request, 200, "ok") };
        });
        configure();
        const auto before = m_relay.counter(Counter::InternalFailures);
        EXPECT_EQ(m_relay.send(callerRequest("POST", "/charge/x", "", "5 francs")).m_status, 200);
        EXPECT_EQ(m_relay.send(callerRequest("GET", "/plain/x")).m_status, 200);
        EXPECT_GE(m_relay.counter(Counter::InternalFailures), before + 2);
    }

    TEST_F(FailureInsideNodeTest, ARequestThatCannotBeReadIsAnswered)
    {
        configure();
        m_relay.changeDialect([](relay::Dialect& dialect) {
            dialect.m_readRequest
                = [](const auto&) -> relay::CallerRequest { throw std::runtime_error("unreadable"); };
        });
        expectFailure(callerRequest("GET", "/plain/x"));
    }

    TEST_F(FailureInsideNodeTest, ARequestThatCannotBeSentIsAnswered)
    {
        addUpstream("i-1", answerWith("ok"));
        configure();
        m_relay.changeDialect([](relay::Dialect& dialect) {
            dialect.m_prepareForUpstream
                = [](auto&, const auto&) -> void { throw std::runtime_error("not to be sent"); };
        });
        expectFailure(callerRequest("POST", "/charge/x", "", "5 francs"));
        expectFailure(callerRequest("POST", "/stream/x", "", "go"));
    }

    TEST_F(FailureInsideNodeTest, ARequestWhoseAnswerCannotBeReadIsAnsweredAndTheNodeServesOn)
    {
        addUpstream("i-1", answerWith("ok"));
        configure();
        auto sound = relay::Dialect();
        m_relay.changeDialect([&](relay::Dialect& dialect) {
            sound = dialect;
            dialect.m_readAnswer = [](unsigned, const auto&) -> relay::UpstreamAnswer {
                throw std::runtime_error("unreadable");
            };
        });
        expectFailure(callerRequest("GET", "/plain/x"));
        m_relay.changeDialect([&](relay::Dialect& dialect) { dialect = sound; });
        EXPECT_EQ(m_relay.send(callerRequest("GET", "/plain/x")).m_status, 200);
    }

} // namespace
} // namespace marigoldladder::platform
