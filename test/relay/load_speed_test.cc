#include "relay/load_speed.h"

#include "relay/relay_fixtures.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    TEST(LoadSpeedTest, AFasterWeightStoreAllowsMoreConcurrentLoads)
    {
        auto configuration = configurationWith(enginePool());
        EXPECT_EQ(loadsAtFullSpeed(configuration), 8U);
        configuration.m_pools.at(PoolName("engines")).m_engine->m_loadsPerSecond = 22;
        EXPECT_EQ(loadsAtFullSpeed(configuration), 40U);
        EXPECT_EQ(expectedLoadTime(79, 40),
            2 * expectedLoadTime(0, 40) - (expectedLoadTime(0, 40) - Milliseconds(250)));
    }

    // Replays a weight store that carries two thirds of the estimate: each round loads as many adapters as
    // allowed, and a request tests one of them.
    TEST(LoadSpeedTest, FollowsTheObservedEndsOfLoads)
    {
        auto configuration = configurationWith(enginePool());
        configuration.m_pools.at(PoolName("engines")).m_engine->m_loadsPerSecond = 26;
        ASSERT_EQ(loadsAtFullSpeed(configuration), 48U);
        for (const auto real : { 32U, 40U, 48U }) {
            auto speed = LoadSpeed();
            auto loads = std::size_t { 0 };
            auto late = 0;
            for (auto round = 0; round < 200; ++round) {
                loads = observedLoadsAtFullSpeed(configuration, speed);
                late += loads > real ? 1 : 0;
                recordLoadEnd(speed, loads > real ? LoadEnd::Late : LoadEnd::AsExpected);
            }
            EXPECT_GE(loads, real * 8 / 10);
            EXPECT_LE(loads, real + 1);
            EXPECT_LE(late, 40) << "one request in five comes too early, for " << real;
        }
    }

    TEST(LoadSpeedTest, NeverLoadsFewerThanOneModelsShareOrHalfTheEstimate)
    {
        auto configuration = configurationWith(enginePool());
        auto speed = LoadSpeed();
        for (auto number = 0; number < 100; ++number)
            recordLoadEnd(speed, LoadEnd::Late);
        EXPECT_EQ(observedLoadsAtFullSpeed(configuration, speed), 8U);
        configuration.m_pools.at(PoolName("engines")).m_engine->m_loadsPerSecond = 26;
        EXPECT_EQ(observedLoadsAtFullSpeed(configuration, speed), 24U);
    }

} // namespace
} // namespace marigoldladder::relay
