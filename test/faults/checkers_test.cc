// Each checker holds on a good record and is shown to fail on a doctored one.
#include "faults/checkers.h"

#include <gtest/gtest.h>

namespace marigoldladder::fakes {
namespace {

    constexpr auto startMs = std::int64_t { 1'000'000 };
    constexpr auto longAfterMs = startMs + 10'000;

    auto servedCompletion(std::int64_t startedAtMs) -> LoadRecord
    {
        auto call = LoadRecord();
        call.m_startedAtMs = startedAtMs;
        call.m_endedAtMs = startedAtMs + 10;
        call.m_kind = RequestKind::Completion;
        call.m_outcome = Outcome::Served;
        call.m_organisation = OrganisationName("aare");
        call.m_key = "aare-1.secret";
        call.m_node = "127.0.0.1:1";
        call.m_requestId = RequestId("request-" + std::to_string(startedAtMs));
        call.m_tokens = 10;
        return call;
    }

    auto requestFor(const LoadRecord& call) -> UpstreamRequest
    {
        return { UpstreamName("triage-1"), DataCentreName("olten"), call.m_startedAtMs, "/v1/completions",
            call.m_requestId, call.m_organisation, "{}" };
    }

    auto refusedBooking(const std::string& key) -> LoadRecord
    {
        auto call = servedCompletion(startMs);
        call.m_kind = RequestKind::Booking;
        call.m_outcome = Outcome::Refused;
        call.m_verdict = "not_run";
        call.m_idempotencyKey = IdempotencyKey(key);
        return call;
    }

    auto goodRun() -> RunRecords
    {
        auto run = RunRecords();
        run.m_calls = { servedCompletion(startMs), servedCompletion(startMs + 100) };
        for (const auto& call : run.m_calls)
            run.m_requests.push_back(requestFor(call));
        run.m_rates = { { OrganisationName("aare"), 100, 20 } };
        run.m_secrets = { "secret" };
        run.m_runs[IdempotencyKey("booking-1")] = 1;
        return run;
    }

    auto checkPromise(int number, const RunRecords& run) -> CheckOutcome
    {
        for (const auto& checker : promiseCheckers()) {
            if (checker.m_number == number)
                return checker.m_check(run).m_outcome;
        }
        return CheckOutcome::NotExercised;
    }

    TEST(CheckersTest, BreachNothingOnAGoodRun)
    {
        const auto run = goodRun();
        for (const auto& checker : promiseCheckers())
            EXPECT_NE(checker.m_check(run).m_outcome, CheckOutcome::Breached)
                << "promise " << checker.m_number;
    }

    TEST(CheckersTest, SeeAnAnswerOfAnotherAdapter)
    {
        auto run = goodRun();
        run.m_calls[0].m_outcome = Outcome::Wrong;
        EXPECT_EQ(checkPromise(1, run), CheckOutcome::Breached);
    }

    TEST(CheckersTest, SeeAnEvictionInUse)
    {
        auto run = goodRun();
        run.m_evictedInUse = 1;
        EXPECT_EQ(checkPromise(2, run), CheckOutcome::Breached);
    }

    TEST(CheckersTest, SeeARequestThatRanForAnotherOrganisation)
    {
        auto run = goodRun();
        run.m_requests[0].m_organisation = OrganisationName("other");
        EXPECT_EQ(checkPromise(3, run), CheckOutcome::Breached);
    }

    TEST(CheckersTest, SeeAnIntruderServed)
    {
        auto run = goodRun();
        run.m_calls[0].m_organisation = OrganisationName("intruder");
        run.m_requests.clear();
        EXPECT_EQ(checkPromise(3, run), CheckOutcome::Breached);
    }

    TEST(CheckersTest, SeeAKeyAtAnUpstream)
    {
        auto run = goodRun();
        run.m_requests[0].m_everything = R"({"headers":{"Authorization":"Bearer aare-1.secret"}})";
        EXPECT_EQ(checkPromise(4, run), CheckOutcome::Breached);
    }

    TEST(CheckersTest, SeeAWithdrawnKeyStillServed)
    {
        auto run = goodRun();
        run.m_events = { { startMs, RunEventType::KeyWithdrawn, "aare-1.secret", 0 } };
        EXPECT_NE(checkPromise(5, run), CheckOutcome::Breached) << "expected the first seconds to be allowed";
        run.m_calls.push_back(servedCompletion(longAfterMs));
        EXPECT_EQ(checkPromise(5, run), CheckOutcome::Breached);
    }

    TEST(CheckersTest, SeeMoreThanRateAndBurstInAnyWindow)
    {
        auto run = goodRun();
        run.m_calls[1].m_tokens = 40;
        EXPECT_EQ(checkPromise(6, run), CheckOutcome::Breached);
    }

    TEST(CheckersTest, SeeAnOverloadedUpstream)
    {
        auto run = goodRun();
        run.m_overloads = 1;
        EXPECT_EQ(checkPromise(7, run), CheckOutcome::Breached);
    }

    TEST(CheckersTest, SeeNewWorkInADataCentreThatIsOut)
    {
        auto run = goodRun();
        run.m_events = { { startMs, RunEventType::DataCentreOut, "olten", 0 } };
        EXPECT_EQ(checkPromise(8, run), CheckOutcome::Held);
        run.m_requests.push_back(requestFor(servedCompletion(longAfterMs)));
        EXPECT_EQ(checkPromise(8, run), CheckOutcome::Breached);
    }

    TEST(CheckersTest, SeeACutAnswerButExcuseAKilledNode)
    {
        auto run = goodRun();
        run.m_calls[0].m_outcome = Outcome::Cut;
        EXPECT_EQ(checkPromise(9, run), CheckOutcome::Breached);
        run.m_events = { { startMs + 5, RunEventType::NodeKilled, run.m_calls[0].m_node, 0 } };
        EXPECT_EQ(checkPromise(9, run), CheckOutcome::Held);
    }

    TEST(CheckersTest, ExcuseACallWhoseNodeStayedFrozenButNoneAfterItResumed)
    {
        auto run = goodRun();
        run.m_calls[0].m_outcome = Outcome::Lost;
        run.m_events = { { startMs - 10, RunEventType::NodeFrozen, run.m_calls[0].m_node, 0 } };
        EXPECT_EQ(checkPromise(9, run), CheckOutcome::Held);
        run.m_events.push_back({ startMs - 5, RunEventType::NodeResumed, run.m_calls[0].m_node, 0 });
        EXPECT_EQ(checkPromise(9, run), CheckOutcome::Breached);
    }

    TEST(CheckersTest, SeeAKeyThatRanThoughItWasSaidNotTo)
    {
        auto run = goodRun();
        run.m_calls.push_back(refusedBooking("booking-2"));
        EXPECT_EQ(checkPromise(10, run), CheckOutcome::Held);
        run.m_runs[IdempotencyKey("booking-2")] = 1;
        EXPECT_EQ(checkPromise(10, run), CheckOutcome::Breached);
    }

    TEST(CheckersTest, SeeAKeyThatRanTwice)
    {
        auto run = goodRun();
        run.m_runs[IdempotencyKey("booking-1")] = 2;
        EXPECT_EQ(checkPromise(11, run), CheckOutcome::Breached);
    }

    TEST(CheckersTest, SeeNewWorkAtALeavingUpstream)
    {
        auto run = goodRun();
        run.m_events = { { startMs, RunEventType::UpstreamLeaving, "triage-1", 0 } };
        EXPECT_EQ(checkPromise(12, run), CheckOutcome::Held);
        run.m_requests.push_back(requestFor(servedCompletion(longAfterMs)));
        EXPECT_EQ(checkPromise(12, run), CheckOutcome::Breached);
    }

    TEST(CheckersTest, SeeARequestCutByAGracefulShutdown)
    {
        auto run = goodRun();
        run.m_events = { { startMs, RunEventType::NodeTerminated, "127.0.0.1:1", 0 },
            { longAfterMs, RunEventType::NodeEnded, "127.0.0.1:1", 0 } };
        EXPECT_EQ(checkPromise(13, run), CheckOutcome::Held);
        run.m_calls[0].m_outcome = Outcome::Lost;
        EXPECT_EQ(checkPromise(13, run), CheckOutcome::Breached);
    }

    TEST(CheckersTest, SeeARevisionThatIsLateOrGoesBack)
    {
        auto run = goodRun();
        run.m_events = { { startMs, RunEventType::RevisionAccepted, "note", 2 } };
        run.m_samples = { { longAfterMs, "127.0.0.1:1", 2 } };
        EXPECT_EQ(checkPromise(14, run), CheckOutcome::Held);
        run.m_samples.push_back({ longAfterMs + 1, "127.0.0.1:1", 1 });
        EXPECT_EQ(checkPromise(14, run), CheckOutcome::Breached);
    }

    TEST(CheckersTest, SeeMoreThanTwoEnginesBroughtDown)
    {
        auto run = goodRun();
        run.m_crashes = 2;
        EXPECT_EQ(checkPromise(15, run), CheckOutcome::Held);
        run.m_crashes = 3;
        EXPECT_EQ(checkPromise(15, run), CheckOutcome::Breached);
    }

} // namespace
} // namespace marigoldladder::fakes
