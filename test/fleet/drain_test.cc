// When a leaving node may end.
#include "fleet/drain.h"

#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    constexpr auto timeToLive = std::chrono::milliseconds(2000);
    constexpr auto expired = drainNewsBound + timeToLive;

    TEST(DrainTest, ServesOnUntilAnswersGivenBeforeTheNewsHaveExpired)
    {
        EXPECT_FALSE(mayLeave({ expired - std::chrono::milliseconds(1), expired, 0, 0 }, timeToLive));
        EXPECT_TRUE(mayLeave({ expired, expired, 0, 0 }, timeToLive));
    }

    TEST(DrainTest, WaitsForRequestsAndForCallsOfPeers)
    {
        EXPECT_FALSE(mayLeave({ 3 * expired, expired, 1, 0 }, timeToLive));
        EXPECT_FALSE(mayLeave({ 3 * expired, expired, 0, 1 }, timeToLive));
    }

    TEST(DrainTest, WaitsForAQuietSpell)
    {
        const auto almost = drainQuietTime - std::chrono::milliseconds(1);
        EXPECT_FALSE(mayLeave({ 3 * expired, almost, 0, 0 }, timeToLive));
    }

} // namespace
} // namespace marigoldladder
