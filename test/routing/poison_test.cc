#include "routing/poison.h"

#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    constexpr auto start = MonotonicTime(std::chrono::hours(1));
    constexpr auto print = std::uint64_t { 17 };
    const auto self = VmName("bern-a-1");
    const auto peer = VmName("olten-1");

    TEST(PoisonTableTest, SuspectsAfterOneCrashAndRefusesAfterTwo)
    {
        auto table = PoisonTable();
        EXPECT_EQ(poisonState(table, print, start), PoisonState::Clean);
        noteCrash(table, self, print, 0, start);
        EXPECT_EQ(poisonState(table, print, start), PoisonState::Suspect);
        noteCrash(table, self, print, 0, start);
        EXPECT_EQ(poisonState(table, print, start), PoisonState::Refused);
    }

    TEST(PoisonTableTest, AddsUpCrashesThatDifferentNodesSaw)
    {
        auto table = PoisonTable();
        noteCrash(table, self, print, 0, start);
        mergeReport(table, peer, print, { 1, 0 }, start);
        EXPECT_EQ(poisonState(table, print, start), PoisonState::Refused);
    }

    TEST(PoisonTableTest, CountsARepeatedReportOnce)
    {
        auto table = PoisonTable();
        mergeReport(table, peer, print, { 1, 0 }, start);
        mergeReport(table, peer, print, { 1, 0 }, start);
        EXPECT_EQ(poisonState(table, print, start), PoisonState::Suspect);
    }

    TEST(PoisonTableTest, ClearsASuspectButNothingThatIsRefused)
    {
        auto table = PoisonTable();
        noteCrash(table, self, print, 0, start);
        EXPECT_TRUE(clearSuspect(table, print, start));
        EXPECT_EQ(poisonState(table, print, start), PoisonState::Clean);
        noteCrash(table, self, print, 0, start);
        noteCrash(table, self, print, 0, start);
        mergeReport(table, peer, print, { 0, 0 }, start);
        EXPECT_EQ(poisonState(table, print, start), PoisonState::Refused);
    }

    TEST(PoisonTableTest, ClearsPastThePointOfTheCrashOnly)
    {
        auto table = PoisonTable();
        noteCrash(table, self, print, 40, start);
        EXPECT_EQ(clearingProgress(table, print), 40 + clearingMargin);
    }

    TEST(PoisonTableTest, ForgetsAfterAWhile)
    {
        auto table = PoisonTable();
        noteCrash(table, self, print, 0, start);
        EXPECT_EQ(poisonState(table, print, start + suspectTime), PoisonState::Clean);
        noteCrash(table, self, print, 0, start);
        noteCrash(table, self, print, 0, start);
        EXPECT_EQ(poisonState(table, print, start + suspectTime), PoisonState::Refused);
        EXPECT_EQ(poisonState(table, print, start + refusalTime), PoisonState::Clean);
    }

    TEST(PoisonTableTest, KeepsABoundedNumberOfFingerprints)
    {
        auto table = PoisonTable();
        for (auto i = std::uint64_t { 1 }; i <= maxPoisonEntries + 10; ++i)
            noteCrash(table, self, i, 0, start + std::chrono::milliseconds(i));
        EXPECT_EQ(table.m_entries.size(), maxPoisonEntries);
        EXPECT_EQ(poisonState(table, 1, start), PoisonState::Clean) << "expected the oldest to be forgotten";
    }

} // namespace
} // namespace marigoldladder
