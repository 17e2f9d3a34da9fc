#include "routing/fair_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldladder {
namespace {

    constexpr auto start = MonotonicTime(std::chrono::hours(1));

    auto makeCall(const std::string& id, const std::string& organisation, double tokens = 10,
        Priority priority = Priority::Interactive, double weight = 1) -> QueuedCall
    {
        return { RequestId(id), OrganisationName(organisation), weight, priority, tokens,
            start + std::chrono::minutes(1) };
    }

    auto alwaysReady(const QueuedCall&) -> bool
    {
        return true;
    }

    // Fills the queue with each organisation's calls and returns the tokens served of each after so many
    // calls.
    auto serve(FairQueue& queue, int calls) -> std::map<OrganisationName, double>
    {
        auto served = std::map<OrganisationName, double>();
        for (auto i = 0; i < calls; ++i) {
            if (const auto call = takeNextCall(queue, alwaysReady))
                served[call->m_organisation] += call->m_costTokens;
        }
        return served;
    }

    TEST(FairQueueTest, ServesAnOrganisationsCallsInOrder)
    {
        auto queue = FairQueue();
        enqueueCall(queue, makeCall("1", "aare"), start);
        enqueueCall(queue, makeCall("2", "aare"), start);
        EXPECT_EQ(takeNextCall(queue, alwaysReady)->m_id, RequestId("1"));
        EXPECT_EQ(takeNextCall(queue, alwaysReady)->m_id, RequestId("2"));
        EXPECT_FALSE(takeNextCall(queue, alwaysReady));
    }

    TEST(FairQueueTest, LetsACallInBeforeAnotherOrganisationsBacklog)
    {
        auto queue = FairQueue();
        for (auto i = 0; i < 50; ++i)
            enqueueCall(queue, makeCall("a" + std::to_string(i), "aare"), start);
        (void)takeNextCall(queue, alwaysReady);
        enqueueCall(queue, makeCall("b", "birs"), start);
        EXPECT_EQ(takeNextCall(queue, alwaysReady)->m_id, RequestId("b"));
    }

    TEST(FairQueueTest, SharesTokensByWeight)
    {
        auto queue = FairQueue();
        for (auto i = 0; i < 60; ++i) {
            enqueueCall(
                queue, makeCall("a" + std::to_string(i), "aare", 10, Priority::Interactive, 3), start);
            enqueueCall(
                queue, makeCall("b" + std::to_string(i), "birs", 10, Priority::Interactive, 1), start);
        }
        const auto served = serve(queue, 40);
        EXPECT_EQ(served.at(OrganisationName("aare")), 300);
        EXPECT_EQ(served.at(OrganisationName("birs")), 100);
    }

    TEST(FairQueueTest, PutsInteractiveCallsFirstAndKeepsBatchMoving)
    {
        auto queue = FairQueue();
        for (auto i = 0; i < 60; ++i) {
            enqueueCall(queue, makeCall("i" + std::to_string(i), "aare"), start);
            enqueueCall(queue, makeCall("b" + std::to_string(i), "birs", 10, Priority::Batch), start);
        }
        const auto served = serve(queue, 40);
        EXPECT_GE(served.at(OrganisationName("aare")), 360);
        EXPECT_GE(served.at(OrganisationName("birs")), 20) << "expected batch to keep a twentieth";
    }

    TEST(FairQueueTest, PassesOverCallsThatAreNotReady)
    {
        auto queue = FairQueue();
        enqueueCall(queue, makeCall("1", "aare"), start);
        enqueueCall(queue, makeCall("2", "aare"), start);
        const auto next
            = takeNextCall(queue, [](const QueuedCall& call) { return call.m_id == RequestId("2"); });
        ASSERT_TRUE(next);
        EXPECT_EQ(next->m_id, RequestId("2"));
    }

    TEST(FairQueueTest, RefusesBeyondAnOrganisationsBound)
    {
        auto queue = FairQueue();
        queue.m_bounds = { 2, 10 };
        EXPECT_TRUE(enqueueCall(queue, makeCall("1", "aare"), start).m_accepted);
        EXPECT_TRUE(enqueueCall(queue, makeCall("2", "aare"), start).m_accepted);
        const auto refused = enqueueCall(queue, makeCall("3", "aare"), start);
        EXPECT_FALSE(refused.m_accepted);
        EXPECT_GT(refused.m_retryAfter.count(), 0);
        EXPECT_TRUE(enqueueCall(queue, makeCall("4", "birs"), start).m_accepted);
    }

    TEST(FairQueueTest, MakesTheLongestQueueGiveWayWhenItIsFull)
    {
        auto queue = FairQueue();
        queue.m_bounds = { 10, 4 };
        for (const auto* id : { "1", "2", "3", "4" })
            enqueueCall(queue, makeCall(id, "aare"), start);
        const auto decision = enqueueCall(queue, makeCall("5", "birs"), start);
        EXPECT_TRUE(decision.m_accepted);
        EXPECT_EQ(decision.m_displaced, RequestId("4"));
        EXPECT_EQ(queue.m_waiting, 4U);
    }

    TEST(FairQueueTest, RefusesACallThatWouldNotBeServedInTime)
    {
        auto queue = FairQueue();
        noteServed(queue, 10, 1, 1);
        for (auto i = 0; i < 50; ++i)
            enqueueCall(queue, makeCall(std::to_string(i), "aare"), start);
        EXPECT_FALSE(enqueueCall(queue, makeCall("late", "aare", 200), start).m_accepted);
        EXPECT_TRUE(enqueueCall(queue, makeCall("other", "birs"), start).m_accepted);
    }

    TEST(FairQueueTest, ForgetsOrganisationsThatWaitForNothing)
    {
        auto queue = FairQueue();
        for (auto i = 0; i < 1000; ++i) {
            enqueueCall(queue, makeCall("1", "organisation-" + std::to_string(i)), start);
            (void)takeNextCall(queue, alwaysReady);
        }
        EXPECT_LE(queue.m_classes[0].m_organisations.size(), 2U);
    }

    TEST(FairQueueTest, RemovesAWaitingCall)
    {
        auto queue = FairQueue();
        enqueueCall(queue, makeCall("1", "aare"), start);
        EXPECT_TRUE(removeCall(queue, RequestId("1")));
        EXPECT_FALSE(removeCall(queue, RequestId("1")));
        EXPECT_EQ(queue.m_waiting, 0U);
        EXPECT_EQ(estimatedWait(queue, makeCall("2", "aare")), 0);
    }

    // The bound of start-time fair queueing: two organisations that both wait all the time never differ by
    // more than one largest call of each, in tokens by weight.
    RC_GTEST_PROP(FairQueueProperty, BacklogedOrganisationsShareByWeight, ())
    {
        const auto costs = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(1, 500));
        const auto weight = *rc::gen::inRange(1, 10);
        const auto steps = *rc::gen::inRange(1, 30);
        auto queue = FairQueue();
        auto largest = 0.0;
        for (auto i = std::size_t { 0 }; i < costs.size(); ++i) {
            const auto heavy = i % 2 == 0;
            enqueueCall(queue,
                makeCall(std::to_string(i), heavy ? "aare" : "birs", costs[i], Priority::Interactive,
                    heavy ? weight : 1),
                start);
            largest = std::max(largest, static_cast<double>(costs[i]));
        }
        auto served = serve(queue, steps);
        const auto byWeight = served[OrganisationName("aare")] / weight;
        const auto difference = std::abs(byWeight - served[OrganisationName("birs")]);
        RC_ASSERT(difference <= largest + largest / weight + 1e-6);
    }

    RC_GTEST_PROP(FairQueueProperty, NoCallIsLostOrServedTwice, ())
    {
        const auto kinds = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 9));
        auto queue = FairQueue();
        queue.m_bounds = { 8, 20 };
        auto waiting = std::set<RequestId>();
        for (auto i = std::size_t { 0 }; i < kinds.size(); ++i) {
            const auto id = std::to_string(i);
            const auto priority = static_cast<Priority>(kinds[i] % 3);
            const auto decision
                = enqueueCall(queue, makeCall(id, std::to_string(kinds[i] / 3), 5, priority), start);
            if (decision.m_accepted)
                waiting.insert(RequestId(id));
            if (decision.m_displaced)
                RC_ASSERT(waiting.erase(*decision.m_displaced) == 1U);
            RC_ASSERT(queue.m_waiting == waiting.size());
            RC_ASSERT(waiting.size() <= 20U);
            if (i % 4 == 3)
                RC_ASSERT(waiting.erase(takeNextCall(queue, alwaysReady)->m_id) == 1U);
        }
        while (const auto call = takeNextCall(queue, alwaysReady))
            RC_ASSERT(waiting.erase(call->m_id) == 1U);
        RC_ASSERT(waiting.empty());
    }

} // namespace
} // namespace marigoldladder
