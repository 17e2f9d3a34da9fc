#include "relay/request_limit.h"

#include "relay/relay_fixtures.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldladder::relay {
namespace {

    using std::chrono::milliseconds;

    const auto start = MonotonicTime(std::chrono::seconds(1'000));
    const auto upstream = UpstreamName("i-1");

    auto vmAt(std::size_t index) -> VmName
    {
        return VmName("node-" + std::to_string(index));
    }

    // A fleet as the node at an index sees it: all others are alive at `now`, but for those left out.
    auto fleetSeenBy(std::size_t self, std::size_t nodes, MonotonicTime now,
        const std::vector<std::size_t>& leftOut = {}) -> FleetView
    {
        auto fleet = FleetView();
        for (auto index = std::size_t { 0 }; index < nodes; ++index) {
            if (index == self || std::find(leftOut.begin(), leftOut.end(), index) != leftOut.end())
                continue;
            auto& peer = fleet.m_peers[vmAt(index)];
            peer.m_vm = vmAt(index);
            peer.m_lastReceivedAt = now;
        }
        return fleet;
    }

    TEST(RequestLimitTest, SharesOfAllNodesAddUpToTheLimit)
    {
        for (const auto nodes : { 1U, 2U, 8U, 61U, 195U }) {
            auto sum = 0.0;
            for (auto self = 0U; self < nodes; ++self)
                sum += shareOf(fleetSeenBy(self, nodes, start), vmAt(self), upstream, { 3.5, start }, start)
                           .m_requestsPerSecond;
            EXPECT_NEAR(sum, 3.5, 1e-6) << "with " << nodes << " nodes";
        }
    }

    TEST(RequestLimitTest, ANodeThatIsNoSenderSendsNoneWhileTheLimitIsKnown)
    {
        auto state = LimitState();
        ASSERT_TRUE(recordLimit(state, { 2.0, start }));
        EXPECT_GT(nextRequestAt(state, start + milliseconds(9'000)), start + milliseconds(9'000));
        EXPECT_TRUE(isLimited(state));
    }

    // Guards against all nodes sending at once to an upstream whose limit is so low that its answers are
    // rarer than the time for which a limit held without news.
    RC_GTEST_PROP(RequestLimitTest, NodesWithoutNewsStayWithinTheBoundInAnyWindow, ())
    {
        const auto nodes = *rc::gen::inRange<std::size_t>(1, 70);
        const auto limit = *rc::gen::inRange(0, 30) / 10.0;
        constexpr auto step = 50; // Milliseconds.
        constexpr auto length = 30'000;
        auto states = std::vector<LimitState>(nodes);
        auto sent = std::vector<int>();
        for (auto time = 0; time < length; time += step) {
            const auto now = start + milliseconds(time);
            for (auto self = std::size_t { 0 }; self < nodes; ++self) {
                auto& state = states[self];
                recordLimit(state, { limit, start });
                state.m_share
                    = shareOf(fleetSeenBy(self, nodes, now), vmAt(self), upstream, state.m_limit, now);
                if (nextRequestAt(state, now) > now)
                    continue;
                chargeRequest(state, now);
                sent.push_back(time);
            }
        }
        for (auto first = std::size_t { 0 }; first < sent.size(); ++first) {
            const auto end = std::upper_bound(sent.begin(), sent.end(), sent[first] + 4'000);
            const auto count = static_cast<double>(end - sent.begin()) - static_cast<double>(first);
            RC_ASSERT(count <= 1.5 * limit * 4 + 5);
        }
    }

    TEST(RequestLimitTest, WithoutNewsOneMoreNodeAfterTheOtherMaySend)
    {
        constexpr auto nodes = std::size_t { 61 };
        EXPECT_EQ(senderCount(2.0, nodes, limitNewsTimeout), 5U);
        EXPECT_EQ(senderCount(2.0, nodes, limitNewsTimeout + milliseconds(4'000)), 6U);
        EXPECT_EQ(senderCount(2.0, nodes, std::chrono::minutes(10)), nodes);
    }

    TEST(RequestLimitTest, AnAnswerWithoutALimitEndsIt)
    {
        auto state = LimitState();
        ASSERT_TRUE(recordLimit(state, { 2.0, start }));
        EXPECT_TRUE(recordLimit(state, { std::nullopt, start + milliseconds(1) }));
        EXPECT_FALSE(isLimited(state));
    }

    TEST(RequestLimitTest, AnOlderReportChangesNothing)
    {
        auto state = LimitState();
        ASSERT_TRUE(recordLimit(state, { 2.0, start }));
        ASSERT_TRUE(recordLimit(state, { std::nullopt, start + milliseconds(100) }));
        EXPECT_FALSE(recordLimit(state, { 2.0, start + milliseconds(50) }));
        EXPECT_FALSE(isLimited(state));
    }

    TEST(RequestLimitTest, AnswersOfUpstreamsThatNeverNamedALimitAreNotRecorded)
    {
        auto state = LimitState();
        EXPECT_FALSE(recordLimit(state, { std::nullopt, start }));
        EXPECT_EQ(state.m_limit.m_namedAt, MonotonicTime());
    }

    // Nodes with any demand, of which some learn of the limit late and some do not see each other: from the
    // time when all know it, no 4 s contain more requests than one and a half times the limit and 5.
    RC_GTEST_PROP(RequestLimitTest, AllNodesTogetherStayWithinTheBoundInAnyWindow, ())
    {
        const auto nodes = *rc::gen::inRange<std::size_t>(1, 70);
        const auto limit = *rc::gen::inRange(1, 200) / 10.0;
        const auto missing = *rc::gen::inRange<std::size_t>(0, 2); // A node that some do not see.
        const auto step = *rc::gen::inRange(5, 60); // Between a node's attempts, in milliseconds.
        constexpr auto knownAfter = 1'000;
        constexpr auto length = 12'000;
        auto states = std::vector<LimitState>(nodes);
        auto sent = std::vector<int>();
        for (auto time = 0; time < length; time += step) {
            const auto now = start + milliseconds(time);
            for (auto self = std::size_t { 0 }; self < nodes; ++self) {
                auto& state = states[self];
                const auto learnsAt = static_cast<int>(self * knownAfter / nodes);
                if (time < learnsAt)
                    continue;
                recordLimit(state, { limit, now });
                const auto unseen = self % 2 == 1 && missing > 0 ? std::vector<std::size_t> { 0 }
                                                                 : std::vector<std::size_t>();
                state.m_share = shareOf(
                    fleetSeenBy(self, nodes, now, unseen), vmAt(self), upstream, state.m_limit, now);
                if (nextRequestAt(state, now) > now)
                    continue;
                chargeRequest(state, now);
                sent.push_back(time);
            }
        }
        for (auto first = std::size_t { 0 }; first < sent.size(); ++first) {
            if (sent[first] < knownAfter)
                continue;
            const auto end = std::upper_bound(sent.begin(), sent.end(), sent[first] + 4'000);
            const auto count = static_cast<double>(end - sent.begin()) - static_cast<double>(first);
            RC_ASSERT(count <= 1.5 * limit * 4 + 5);
        }
    }

} // namespace
} // namespace marigoldladder::relay
