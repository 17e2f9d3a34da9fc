// Upstreams that stop taking requests between their choice for a request and the moment at which it is sent.
#include "platform/stepped_runner.h"

namespace marigoldladder::platform {
namespace {

    using relay::Milliseconds;
    using Clock = std::chrono::steady_clock;

    // What changes while the node connects to the upstream `i-1`.
    struct Change {
        const char* m_name;
        std::function<void(relay::UpstreamTable&)> m_apply;
    };

    auto firstUpstream(relay::UpstreamTable& table) -> relay::Upstream&
    {
        return *table.m_upstreams.at(UpstreamName("i-1"));
    }

    class ChangedUpstreamTest : public SteppedRunnerTest, public testing::WithParamInterface<Change> { };

    TEST_P(ChangedUpstreamTest, ARequestThatWasChosenForItGoesToAnother)
    {
        addUpstream("i-1", answerWith("late"));
        auto& request = send();
        ASSERT_TRUE(runUntilChosen("i-1"));
        GetParam().m_apply(table());
        addUpstream("i-2", answerWith("ok"), "there");
        EXPECT_TRUE(runUntil([&] { return request.m_ended; }));
        EXPECT_EQ(requestsAt("i-1"), 0U);
        EXPECT_EQ(requestsAt("i-2"), 1U);
        EXPECT_EQ(request.status(), 200);
    }

    INSTANTIATE_TEST_SUITE_P(AllChanges, ChangedUpstreamTest,
        testing::Values(
            Change { "Leaving",
                [](relay::UpstreamTable& table) { firstUpstream(table).m_record.m_leaving = true; } },
            Change { "Removed",
                [](relay::UpstreamTable& table) {
                    relay::removeUpstream(table, UpstreamName("i-1"), Clock::now());
                } },
            Change { "Evacuated",
                [](relay::UpstreamTable& table) { table.m_evacuated[DataCentreName("here")] = true; } },
            Change { "Paused",
                [](relay::UpstreamTable& table) {
                    firstUpstream(table).m_pausedUntil = Clock::now() + Milliseconds(5'000);
                } }),
        [](const auto& info) { return std::string(info.param.m_name); });

    class MoveToChangedUpstreamTest : public SteppedRunnerTest {
    protected:
        static auto lateAnswer(const UpstreamRequest& request) -> UpstreamReply
        {
            constexpr auto silence = std::chrono::milliseconds(1'500);
            return { "", false, false, false, { { silence, answerTo(request, 200, "late") } } };
        }
    };

    // A request leaves a silent upstream only for one to which it can be sent.
    TEST_F(MoveToChangedUpstreamTest, ARequestStaysIfTheOtherUpstreamLeavesWhileThePermitIsAskedFor)
    {
        constexpr auto requestsPerSecond = 1'000.0;
        addUpstream("i-1", lateAnswer);
        auto& request = send();
        ASSERT_TRUE(runUntil([&] { return requestsAt("i-1") == 1; }));
        addUpstream("i-2", answerWith("ok"));
        (void)relay::recordLimit(
            upstream("i-2").m_requestLimit, relay::NamedLimit { requestsPerSecond, Clock::now() });
        m_node.m_requestLimits.start([] { return true; });
        ASSERT_TRUE(runUntilChosen("i-2"));
        upstream("i-2").m_record.m_leaving = true;
        EXPECT_TRUE(runUntil([&] { return request.m_ended; }));
        EXPECT_EQ(requestsAt("i-2"), 0U);
        EXPECT_EQ(requestsAt("i-1"), 1U);
        EXPECT_EQ(request.status(), 200);
    }

} // namespace
} // namespace marigoldladder::platform
