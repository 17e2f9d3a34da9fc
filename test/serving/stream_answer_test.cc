// One request's answer over an owner in the same process.
#include "serving/stream_answer.h"

#include <gtest/gtest.h>
#include <httplib.h>
#include <thread>

namespace marigoldladder {
namespace {

    using namespace std::chrono_literals;

    constexpr auto callTime = 20s;

    const auto self = VmName("bern-a-1");
    const auto pool = PoolName("booking-app");
    const auto nobody = Address { "127.0.0.1", 1 };

    // A plain service that answers every request.
    class Service {
    public:
        Service()
        {
            m_server.Get(
                "/", [](const auto&, auto& response) { response.set_content("booked", "text/plain"); });
            m_address.m_port = m_server.bind_to_any_port(m_address.m_host);
            m_thread = std::thread([this] { m_server.listen_after_bind(); });
            while (!m_server.is_running())
                std::this_thread::yield();
        }
        Service(const Service&) = delete;
        auto operator=(const Service&) -> Service& = delete;
        ~Service()
        {
            m_server.stop();
            m_thread.join();
        }

        auto address() const -> const Address& { return m_address; }

    private:
        httplib::Server m_server;
        Address m_address { "127.0.0.1", 0 };
        std::thread m_thread;
    };

    class StreamAnswerTest : public ::testing::Test {
    protected:
        auto addUpstream(const UpstreamName& name, const Address& address) -> void
        {
            m_blackboard.m_upstreams.write([&](UpstreamTable& table) {
                auto upstream = Upstream();
                upstream.m_name = name;
                upstream.m_pool = pool;
                upstream.m_address = address;
                upstream.m_kind = UpstreamKind::Service;
                upstream.m_version = ++table.m_version;
                table.m_upstreams[name] = upstream;
            });
        }

        // Makes this node the upstream's owner.
        auto own(const UpstreamName& name) -> void
        {
            m_blackboard.m_assignments.write([&](AssignmentTable& table) {
                auto& assignment = table.m_assignments[name];
                assignment.m_owner = self;
                assignment.m_servedHere = true;
            });
        }

        auto retries() const -> std::uint64_t
        {
            return m_blackboard.m_metrics.value(Counter::RequestsRetried);
        }

        auto makeAnswer(std::chrono::milliseconds atMost = callTime) -> StreamAnswer
        {
            auto call = ServeCall();
            call.m_requestId = RequestId("request-1");
            call.m_method = "GET";
            call.m_path = "/";
            call.m_idempotent = true;
            return { m_services, call, pool, std::chrono::steady_clock::now() + atMost };
        }

        Blackboard m_blackboard;
        PeerLinks m_links { m_blackboard, { self, 1, "secret" } };
        PoisonWatch m_poison { m_blackboard, m_links, self };
        Owner m_owner { m_blackboard, m_poison };
        OwnerClient m_owners { m_blackboard, m_links, m_owner, self };
        RetryBudget m_retryBudget;
        UpstreamChooser m_chooser { m_blackboard };
        AnswerServices m_services { m_blackboard, m_owners, m_poison, m_retryBudget, m_chooser };
    };

    TEST_F(StreamAnswerTest, IsTriedElsewhereAfterARefusalHoweverOftenOwnersWereMissing)
    {
        constexpr auto triesWithoutOwner = std::uint64_t { 6 }; // As many as refusals are allowed.
        const auto service = Service();
        const auto kept = UpstreamName("booking-1");
        const auto unreachable = UpstreamName("booking-2");
        addUpstream(kept, service.address());
        auto answer = makeAnswer();
        while (retries() < triesWithoutOwner)
            ASSERT_FALSE(answer.next(std::chrono::steady_clock::now() + 10ms)) << "expected no end yet";

        // The upstream that was not tried yet goes first.
        addUpstream(unreachable, nobody);
        own(unreachable);
        own(kept);
        const auto event = answer.next(std::chrono::steady_clock::now() + callTime);
        ASSERT_TRUE(event);
        ASSERT_TRUE(std::holds_alternative<AnswerHead>(*event))
            << "expected another try, not: " << std::get<AnswerEnd>(*event).m_failure.m_message;
        EXPECT_EQ(std::get<AnswerHead>(*event).m_upstream, kept);
    }

    TEST_F(StreamAnswerTest, IsToldAsNotRunWhenNoOwnerWasFoundInTime)
    {
        addUpstream(UpstreamName("booking-1"), nobody);
        auto answer = makeAnswer(1s);
        const auto event = answer.next(std::chrono::steady_clock::now() + callTime);
        ASSERT_TRUE(event);
        ASSERT_TRUE(std::holds_alternative<AnswerEnd>(*event));
        EXPECT_EQ(std::get<AnswerEnd>(*event).m_failure.m_verdict, Verdict::NotRun);
    }

    TEST_F(StreamAnswerTest, EndsAfterAFewRefusals)
    {
        addUpstream(UpstreamName("booking-1"), nobody);
        own(UpstreamName("booking-1"));
        auto answer = makeAnswer();
        const auto event = answer.next(std::chrono::steady_clock::now() + callTime);
        ASSERT_TRUE(event);
        ASSERT_TRUE(std::holds_alternative<AnswerEnd>(*event));
        EXPECT_EQ(std::get<AnswerEnd>(*event).m_failure.m_type, FailureType::Unavailable);
        EXPECT_EQ(retries(), 5U);
    }

} // namespace
} // namespace marigoldladder
