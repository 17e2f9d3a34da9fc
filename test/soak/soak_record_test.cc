// What the soak counts as a broken promise.
#include "soak/relay_site.h"

#include <gtest/gtest.h>
#include <thread>

namespace marigoldladder::soak {
namespace {

    using std::chrono::milliseconds;

    constexpr auto startTime = milliseconds(10'000);

    TEST(SoakRecordTest, CountsAProcessThatEndedByItself)
    {
        auto record = SoakRecord();
        auto site = RelaySite(2, 1, record);
        ASSERT_TRUE(site.allReady(startTime));
        site.kill(site.relays().back());
        EXPECT_TRUE(record.brokenPromises().empty());
        auto& relay = site.relays().front();
        relay.m_relay.signal(SIGABRT);
        while (!site.hasEnded(relay))
            std::this_thread::sleep_for(milliseconds(1));
        EXPECT_EQ(record.brokenPromises(), std::vector<std::string> { "relay-0 ended by itself: signal 6" });
    }

    TEST(SoakRecordTest, CountsAnAnswerThatARunningRelayOwes)
    {
        auto record = SoakRecord();
        const auto now = std::chrono::steady_clock::now();
        auto attempt = Attempt();
        attempt.m_relay = "relay";
        attempt.m_begun = now - milliseconds(2);
        attempt.m_ended = now - milliseconds(1);
        record.noteAttempt(attempt);
        record.noteOutage("other", now - milliseconds(3));
        record.noteOutage("relay", now);
        EXPECT_EQ(record.lostAnswers().size(), 1U);
        record.noteOutage("relay", now - milliseconds(1));
        EXPECT_TRUE(record.lostAnswers().empty());
    }

    // Seed 403: a stream that moved off a silent upstream was cut at its deadline, and counted as lost.
    TEST(SoakRecordTest, CountsNoBegunAnswerThatWasCutAtItsDeadline)
    {
        auto record = SoakRecord();
        auto attempt = Attempt();
        attempt.m_deadline = milliseconds(2'000);
        attempt.m_ended = attempt.m_begun + milliseconds(1'971);
        attempt.m_status = 200;
        record.noteAttempt(attempt);
        EXPECT_TRUE(record.lostAnswers().empty());
        auto notBegun = attempt;
        notBegun.m_status = 0;
        record.noteAttempt(notBegun);
        auto early = attempt;
        early.m_ended = early.m_begun + milliseconds(1'900);
        record.noteAttempt(early);
        EXPECT_EQ(record.lostAnswers().size(), 2U);
    }

} // namespace
} // namespace marigoldladder::soak
