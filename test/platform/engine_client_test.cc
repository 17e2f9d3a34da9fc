#include "platform/engine_client.h"

#include "platform/fake_upstream.h"

#include <boost/asio/co_spawn.hpp>
#include <gtest/gtest.h>
#include <map>

namespace marigoldladder::platform {
namespace {

    using namespace relay;
    using relay::Upstream;

    class EngineClientTest : public testing::Test {
    protected:
        EngineClientTest()
            : m_calls(makeEngineCalls(m_context.get_executor()))
        {
        }

        // Starts an engine that accepts every order. It replaces one that was started before.
        auto startEngine() -> void
        {
            m_engines.push_back(
                std::make_unique<FakeUpstream>(m_context, [](const UpstreamRequest& /*request*/) {
                    return UpstreamReply { "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n" };
                }));
        }

        auto upstream() -> UpstreamPointer
        {
            auto engine = std::make_shared<Upstream>();
            engine->m_record.m_name = UpstreamName("i-1");
            engine->m_record.m_address = m_engines.back()->address();
            return engine;
        }

        // Starts to send an order.
        auto send(const std::string& adapter = "m/a1") -> void
        {
            auto order = AdapterOrder { AdapterOrderKind::Load, upstream(), "m", adapter, 0, false, {} };
            net::co_spawn(m_context, m_calls.m_order(order, OrderSender { VmName("node-1"), 1 }, {}),
                [this](const std::exception_ptr&, const EngineOrderAnswer& answer) {
                    m_answers.push_back(answer.m_answer);
                });
        }

        auto runUntilAnswered() -> void
        {
            while (m_answers.empty() && m_context.run_one_for(std::chrono::milliseconds(2'000)) > 0) { }
        }

        net::io_context m_context { 1 };
        std::vector<std::unique_ptr<FakeUpstream>> m_engines;
        EngineCalls m_calls;
        std::vector<OrderAnswer> m_answers;
    };

    TEST_F(EngineClientTest, AnEngineThatReturnsAtAnotherAddressIsCalledThere)
    {
        startEngine();
        send();
        runUntilAnswered();
        startEngine();
        m_answers.clear();
        send();
        runUntilAnswered();
        EXPECT_EQ(m_engines[0]->requests().size(), 1U);
        EXPECT_EQ(m_engines[1]->requests().size(), 1U);
    }

    // Callers name adapters in any bytes.
    TEST_F(EngineClientTest, AnAdapterWhoseNameIsNoTextIsOrderedLikeAnyOther)
    {
        startEngine();
        send("m/\xff\xfe");
        runUntilAnswered();
        ASSERT_EQ(m_engines[0]->requests().size(), 1U);
        EXPECT_TRUE(nlohmann::json::accept(m_engines[0]->requests()[0].body()));
        EXPECT_EQ(m_answers, std::vector { OrderAnswer::Accepted });
    }

} // namespace
} // namespace marigoldladder::platform
