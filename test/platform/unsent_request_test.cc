// Requests that are chosen for an upstream, but never sent there: what was acquired for them is given back.
#include "platform/stepped_runner.h"

namespace marigoldladder::platform {
namespace {

    class UnsentRequestTest : public SteppedRunnerTest {
    protected:
        // Makes the upstream a worse choice by this many requests of other nodes.
        auto occupy(const std::string& name, std::size_t requests) -> void
        {
            upstream(name).m_peersInFlight = requests;
        }

        static auto reset(const UpstreamRequest& /*request*/) -> UpstreamReply
        {
            auto reply = UpstreamReply();
            reply.m_resets = true;
            return reply;
        }
    };

    TEST_F(UnsentRequestTest, ARetryThatReachedNoUpstreamIsNotCountedAsOne)
    {
        m_node.m_settings.m_bounds.m_retryRatio = 0;
        m_node.m_settings.m_bounds.m_retryExtra = 1.5; // Enough for one retry.
        for (auto& [host, routes] : m_node.m_configuration.m_routesByHost) {
            for (auto& route : routes)
                route.m_maxUpstreams = 3;
        }
        addUpstream("i-1", reset);
        addRecord("i-2", freeAddress());
        addUpstream("i-3", answerWith("ok"));
        occupy("i-2", 2);
        occupy("i-3", 4);
        auto& request = send();
        EXPECT_TRUE(runUntil([&] { return request.m_ended; }));
        ASSERT_EQ(requestsAt("i-1"), 1U);
        EXPECT_EQ(requestsAt("i-3"), 1U);
        EXPECT_EQ(request.status(), 200);
    }

    TEST_F(UnsentRequestTest, TheAllowanceIsGivenBackIfTheCallerDisconnectsBeforeItIsSent)
    {
        for (auto& organisation : m_node.m_configuration.m_organisations) {
            organisation.m_tokensPerSecond = 0.01;
            organisation.m_burstTokens = 15;
            organisation.m_defaultRequestTokens = 10;
        }
        m_node.m_settings.m_bounds.m_allowance.m_excess = 100; // A shard that is taken over starts full.
        m_node.m_allowances.start([] { return true; });
        addUpstream("i-1", answerWith("ok"));
        auto& abandoned = send();
        ASSERT_TRUE(runUntilChosen("i-1"));
        abandoned.m_state.m_callerDisconnected = true;
        EXPECT_TRUE(runUntil([&] { return abandoned.m_ended; }));
        ASSERT_EQ(requestsAt("i-1"), 0U);
        auto& next = send();
        EXPECT_TRUE(runUntil([&] { return next.m_ended; }));
        EXPECT_EQ(next.status(), 200);
    }

    TEST_F(UnsentRequestTest, TheTrialOfAConvictedPromptPartGoesOnAtAnotherUpstream)
    {
        constexpr auto part = relay::Suspect { relay::SuspectKind::PromptPart, 0xab };
        auto& evidence = m_node.m_board.m_crashEvidence;
        const auto crashedAt = std::chrono::steady_clock::now() - 2 * relay::firstTrialDelay;
        auto& record = evidence.m_records[part];
        for (auto run = relay::UpstreamRunId { 1 }; run <= relay::crashesUntilConvicted; ++run)
            record.m_crashes[run] = crashedAt;
        record.m_conviction = relay::Conviction { crashedAt, 0 };
        evidence.m_convictions = 1;
        addRecord("i-1", freeAddress());
        addUpstream("i-2", answerWith("ok"));
        occupy("i-2", 2);
        auto& request = send("ab:100,cd:10");
        EXPECT_TRUE(runUntil([&] { return request.m_ended; }));
        EXPECT_EQ(requestsAt("i-2"), 1U);
        EXPECT_EQ(request.status(), 200);
    }

} // namespace
} // namespace marigoldladder::platform
