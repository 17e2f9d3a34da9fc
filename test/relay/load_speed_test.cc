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

} // namespace
} // namespace marigoldladder::relay
