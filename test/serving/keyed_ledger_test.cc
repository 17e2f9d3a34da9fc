#include "serving/keyed_ledger.h"

#include <gtest/gtest.h>

#include <thread>

namespace marigoldladder {
namespace {

    const auto key = ScopedKey("k");
    constexpr auto fingerprint = std::uint64_t { 1 };
    constexpr auto epoch = KeyEpoch { 100 };

    auto soon() -> MonotonicTime
    {
        return std::chrono::steady_clock::now() + std::chrono::milliseconds(20);
    }

    auto answer(const std::string& body) -> Result<KeptAnswer>
    {
        return KeptAnswer { 200, "application/json", body, UpstreamName("booking-1") };
    }

    TEST(KeyedLedgerTest, RunsAKeyOnceAndReplaysItsAnswer)
    {
        auto ledger = KeyedLedger({});
        EXPECT_EQ(ledger.begin(key, fingerprint, epoch, soon()).m_type, KeyTurnType::Run);
        ledger.finish(key, answer("booked"));
        const auto again = ledger.begin(key, fingerprint, epoch, soon());
        ASSERT_EQ(again.m_type, KeyTurnType::Replay);
        EXPECT_EQ(again.m_answer->m_body, "booked");
    }

    TEST(KeyedLedgerTest, RunsAgainOnlyAfterNotRun)
    {
        auto ledger = KeyedLedger({});
        (void)ledger.begin(key, fingerprint, epoch, soon());
        ledger.finish(key, notRun(FailureType::Unavailable, ""));
        EXPECT_EQ(ledger.begin(key, fingerprint, epoch, soon()).m_type, KeyTurnType::Run);
        ledger.finish(key, mayHaveRun(FailureType::Unavailable, ""));
        const auto again = ledger.begin(key, fingerprint, epoch, soon());
        EXPECT_EQ(again.m_type, KeyTurnType::Refuse);
        EXPECT_EQ(again.m_failure.m_verdict, Verdict::MayHaveRun);
    }

    TEST(KeyedLedgerTest, RefusesAKeyWithAnotherRequest)
    {
        auto ledger = KeyedLedger({});
        (void)ledger.begin(key, fingerprint, epoch, soon());
        ledger.finish(key, answer("booked"));
        const auto other = ledger.begin(key, fingerprint + 1, epoch, soon());
        EXPECT_EQ(other.m_type, KeyTurnType::Refuse);
        EXPECT_EQ(other.m_failure.m_type, FailureType::Conflict);
        EXPECT_EQ(other.m_failure.m_verdict, Verdict::MayHaveRun) << "expected no claim that nothing ran";
    }

    TEST(KeyedLedgerTest, ADuplicateWaitsForTheFirst)
    {
        auto ledger = KeyedLedger({});
        (void)ledger.begin(key, fingerprint, epoch, soon());
        EXPECT_EQ(ledger.begin(key, fingerprint, epoch, soon()).m_failure.m_verdict, Verdict::MayHaveRun);
        auto first = std::thread([&] { ledger.finish(key, answer("booked")); });
        const auto patient = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        EXPECT_EQ(ledger.begin(key, fingerprint, epoch, patient).m_type, KeyTurnType::Replay);
        first.join();
    }

    TEST(KeyedLedgerTest, AForgottenKeyIsNeverRunAgain)
    {
        auto ledger = KeyedLedger({});
        (void)ledger.begin(key, fingerprint, epoch, soon());
        ledger.finish(key, answer("booked"));
        ledger.forgetBefore(epoch + 1);
        const auto again = ledger.begin(key, fingerprint, epoch, soon());
        EXPECT_EQ(again.m_type, KeyTurnType::Refuse);
        EXPECT_EQ(again.m_failure.m_verdict, Verdict::MayHaveRun);
    }

    TEST(KeyedLedgerTest, ADroppedAnswerIsStillKnownToHaveRun)
    {
        auto bounds = LedgerBounds();
        bounds.m_maxAnswerBytes = 10;
        auto ledger = KeyedLedger(bounds);
        for (const auto* name : { "a", "b", "c" }) {
            (void)ledger.begin(ScopedKey(name), fingerprint, epoch, soon());
            ledger.finish(ScopedKey(name), answer("booked"));
        }
        EXPECT_EQ(ledger.begin(ScopedKey("a"), fingerprint, epoch, soon()).m_failure.m_verdict, Verdict::Ran);
        EXPECT_EQ(ledger.begin(ScopedKey("c"), fingerprint, epoch, soon()).m_type, KeyTurnType::Replay);
    }

    TEST(KeyedLedgerTest, RefusesNewKeysWhenFullAsNotRun)
    {
        auto bounds = LedgerBounds();
        bounds.m_maxKeys = 1;
        auto ledger = KeyedLedger(bounds);
        (void)ledger.begin(key, fingerprint, epoch, soon());
        const auto other = ledger.begin(ScopedKey("other"), fingerprint, epoch, soon());
        EXPECT_EQ(other.m_type, KeyTurnType::Refuse);
        EXPECT_EQ(other.m_failure.m_verdict, Verdict::NotRun);
    }

} // namespace
} // namespace marigoldladder
