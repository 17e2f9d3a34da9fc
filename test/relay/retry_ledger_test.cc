#include "relay/retry_ledger.h"

#include "relay/relay_fixtures.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    TEST(RetryLedgerTest, AllNodesTogetherKeepTheBound)
    {
        constexpr auto nodes = std::size_t { 8 };
        auto bounds = FleetBounds();
        bounds.m_retryExtra = 56;
        auto ledgers = std::vector<RetryLedger>(nodes);
        auto repeats = 0;
        constexpr auto requests = 100;
        for (auto step = 0; step < requests * static_cast<int>(nodes); ++step) {
            auto& ledger = ledgers[step % nodes];
            const auto now = at(step * 0.01);
            noteRequest(ledger, PoolName("pool"), bounds, now);
            // Every request fails and would be repeated.
            repeats += takeRepeat(ledger, PoolName("pool"), bounds, nodes, now) ? 1 : 0;
        }
        EXPECT_LE(repeats, bounds.m_retryRatio * requests * nodes + bounds.m_retryExtra);
        EXPECT_GE(repeats, 0.5 * bounds.m_retryRatio * requests * nodes);
    }

    TEST(RetryLedgerTest, ForgetsWhatLiesBeforeItsWindow)
    {
        auto bounds = FleetBounds();
        bounds.m_retryExtra = 10;
        auto ledger = RetryLedger();
        while (takeRepeat(ledger, PoolName("pool"), bounds, 1, at(0))) { }
        EXPECT_FALSE(takeRepeat(ledger, PoolName("pool"), bounds, 1, at(5)));
        EXPECT_TRUE(takeRepeat(ledger, PoolName("pool"), bounds, 1, at(11)));
    }

} // namespace
} // namespace marigoldladder::relay
