#include "relay/request_limit.h"

#include "relay/relay_fixtures.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace marigoldladder::relay {
namespace {

    using std::chrono::milliseconds;

    const auto start = MonotonicTime(std::chrono::seconds(1'000));
    const auto upstream = UpstreamName("i-1");

    auto vmAt(std::size_t index) -> VmName
    {
        return VmName("node-" + std::to_string(index));
    }

    auto nodesFrom(std::size_t first, std::size_t end) -> std::vector<VmName>
    {
        auto nodes = std::vector<VmName>();
        for (auto index = first; index < end; ++index)
            nodes.push_back(vmAt(index));
        return nodes;
    }

    // The nodes of a fleet, each of which asks for permits all the time. Nodes with odd numbers may not see
    // the first one.
    class AskingFleet {
    public:
        AskingFleet(std::size_t nodes, double limit, bool hidesFirst)
            : m_limit(limit)
            , m_hidesFirst(hidesFirst && nodes > 1)
            , m_all(nodesFrom(0, nodes))
            , m_withoutFirst(nodesFrom(1, nodes))
            , m_states(nodes)
        {
        }

        auto restart(std::size_t node) -> void { m_states.at(node) = LimitState(); }

        // Lets each node that has learnt of the limit ask once; returns how many permits were granted.
        auto askAll(MonotonicTime now, std::size_t informedNodes) -> int
        {
            for (auto node = std::size_t { 0 }; node < m_states.size(); ++node)
                updateShards(node, now);
            auto granted = 0;
            for (auto node = std::size_t { 0 }; node < informedNodes; ++node) {
                if (ask(node, now))
                    ++granted;
            }
            return granted;
        }

    private:
        auto doesNotSeeFirst(std::size_t node) const -> bool { return m_hidesFirst && node % 2 == 1; }

        auto candidates(std::size_t node) const -> const std::vector<VmName>&
        {
            return doesNotSeeFirst(node) ? m_withoutFirst : m_all;
        }

        auto fleetShare(std::size_t node) const -> double
        {
            return static_cast<double>(candidates(node).size()) / static_cast<double>(m_all.size());
        }

        auto updateShards(std::size_t node, MonotonicTime now) -> void
        {
            auto& state = m_states.at(node);
            for (auto shard = std::size_t { 0 }; shard < maxLimitShards; ++shard) {
                const auto isOwned = isLimited(state) && shard < limitShardCount(m_limit)
                    && limitShardOwner(candidates(node), upstream, shard) == vmAt(node);
                setShardOwned(state.m_shards.at(shard), isOwned, now);
            }
        }

        auto ask(std::size_t node, MonotonicTime now) -> bool
        {
            for (auto shard = std::size_t { 0 }; shard < limitShardCount(m_limit); ++shard) {
                const auto owner = *limitShardOwner(candidates(node), upstream, shard);
                const auto index
                    = static_cast<std::size_t>(std::find(m_all.begin(), m_all.end(), owner) - m_all.begin());
                recordLimit(m_states.at(index), { m_limit, now });
                if (grantPermit(m_states.at(index), shard, fleetShare(index), now).m_isGranted)
                    return true;
            }
            return false;
        }

        double m_limit;
        bool m_hidesFirst;
        std::vector<VmName> m_all;
        std::vector<VmName> m_withoutFirst;
        std::vector<LimitState> m_states;
    };

    TEST(RequestLimitTest, TheShardsOfALimitHaveDifferentOwners)
    {
        for (const auto count : { 3U, 8U, 61U }) {
            auto owners = std::set<VmName>();
            for (auto shard = std::size_t { 0 }; shard < maxLimitShards; ++shard)
                owners.insert(*limitShardOwner(nodesFrom(0, count), upstream, shard));
            EXPECT_EQ(owners.size(), maxLimitShards) << "with " << count << " nodes";
        }
        EXPECT_EQ(limitShardOwner(nodesFrom(0, 1), upstream, 2), vmAt(0));
        EXPECT_FALSE(limitShardOwner({}, upstream, 0));
    }

    TEST(RequestLimitTest, OnlyTheOwnerOfAShardGrantsItsPermits)
    {
        auto state = LimitState();
        ASSERT_TRUE(recordLimit(state, { 2.0, start }));
        EXPECT_FALSE(grantPermit(state, 0, 1, start + milliseconds(5'000)).m_isGranted);
        setShardOwned(state.m_shards.at(0), true, start);
        EXPECT_FALSE(grantPermit(state, 0, 1, start).m_isGranted)
            << "expected an owner to start without permits";
        EXPECT_TRUE(grantPermit(state, 0, 1, start + milliseconds(1'000)).m_isGranted);
        EXPECT_FALSE(grantPermit(state, 1, 1, start + milliseconds(5'000)).m_isGranted);
        EXPECT_FALSE(grantPermit(state, 200, 1, start + milliseconds(5'000)).m_isGranted);
    }

    TEST(RequestLimitTest, RefusedNodesAreToldToReturnOneAfterTheOther)
    {
        auto state = LimitState();
        ASSERT_TRUE(recordLimit(state, { 0.5, start }));
        setShardOwned(state.m_shards.at(0), true, start);
        const auto first = grantPermit(state, 0, 1, start).m_retryAfter;
        EXPECT_EQ(first, milliseconds(2'000));
        EXPECT_GE(grantPermit(state, 0, 1, start).m_retryAfter, first);
    }

    // Guards against a limit of nothing that no answer could ever end.
    TEST(RequestLimitTest, EvenALimitOfNothingIsTestedNowAndThen)
    {
        auto state = LimitState();
        ASSERT_TRUE(recordLimit(state, { 0.0, start }));
        setShardOwned(state.m_shards.at(0), true, start);
        EXPECT_FALSE(grantPermit(state, 0, 1, start + milliseconds(3'900)).m_isGranted);
        EXPECT_TRUE(grantPermit(state, 0, 1, start + milliseconds(4'000)).m_isGranted);
    }

    TEST(RequestLimitTest, AnOwnerThatKnowsThatTheLimitEndedGrantsAPermit)
    {
        auto state = LimitState();
        ASSERT_TRUE(recordLimit(state, { 2.0, start }));
        ASSERT_TRUE(recordLimit(state, { std::nullopt, start + milliseconds(1) }));
        EXPECT_TRUE(grantPermit(state, 0, 1, start + milliseconds(2)).m_isGranted);
    }

    TEST(RequestLimitTest, AnAnswerWithoutALimitEndsIt)
    {
        auto state = LimitState();
        ASSERT_TRUE(recordLimit(state, { 2.0, start }));
        EXPECT_TRUE(recordLimit(state, { std::nullopt, start + milliseconds(1) }));
        EXPECT_FALSE(isLimited(state));
    }

    // Guards against all nodes sending at once to an upstream whose answers are rare, as its limit is low.
    TEST(RequestLimitTest, ALimitWithoutNewsStaysInForce)
    {
        auto state = LimitState();
        ASSERT_TRUE(recordLimit(state, { 0.1, start }));
        EXPECT_TRUE(isLimited(state));
        EXPECT_FALSE(grantPermit(state, 0, 1, start + std::chrono::minutes(10)).m_isGranted);
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

    // Nodes with any demand, of which some learn of the limit late, some do not see another one, and one
    // restarts: from the time when all know it, no 4 s contain more requests than one and a half times the
    // limit and 5.
    RC_GTEST_PROP(RequestLimitTest, AllNodesTogetherStayWithinTheBoundInAnyWindow, ())
    {
        const auto nodes = *rc::gen::inRange<std::size_t>(1, 70);
        const auto limit = *rc::gen::inRange(0, 200) / 10.0;
        auto fleet = AskingFleet(nodes, limit, *rc::gen::arbitrary<bool>());
        const auto step = *rc::gen::inRange(5, 60); // Between a node's attempts, in milliseconds.
        const auto restarted = *rc::gen::inRange<std::size_t>(0, nodes);
        const auto restartsAt = *rc::gen::inRange(0, 12'000);
        constexpr auto knownAfter = 1'000;
        constexpr auto length = 12'000;
        auto sent = std::vector<int>();
        for (auto time = 0; time < length; time += step) {
            if (time <= restartsAt && restartsAt < time + step)
                fleet.restart(restarted);
            const auto informed = std::min(nodes, 1 + nodes * static_cast<std::size_t>(time) / knownAfter);
            const auto granted = fleet.askAll(start + milliseconds(time), informed);
            sent.insert(sent.end(), static_cast<std::size_t>(granted), time);
        }
        for (auto first = std::size_t { 0 }; first < sent.size(); ++first) {
            if (sent[first] < knownAfter)
                continue;
            const auto end = std::upper_bound(sent.begin(), sent.end(), sent[first] + 4'000);
            const auto count = static_cast<double>(end - sent.begin()) - static_cast<double>(first);
            RC_ASSERT(count <= 1.5 * limit * 4 + 5);
        }
    }

    // Guards against limits that are of no use because each node's share of them is too small.
    TEST(RequestLimitTest, ALimitIsUsedUpWhereverInALargeFleetTheRequestsArrive)
    {
        constexpr auto nodes = std::size_t { 195 };
        auto fleet = AskingFleet(nodes, 4.0, false);
        auto granted = 0;
        for (auto time = 0; time < 10'000; time += 50)
            granted += fleet.askAll(start + milliseconds(time), 1);
        EXPECT_GE(granted, 36) << "of 40 in 10 s, all asked for by one node";
        EXPECT_LE(granted, 43);
    }

} // namespace
} // namespace marigoldladder::relay
