#include "relay/node_capacity.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    // The users' smallest machine, and the largest request that their configurations allow.
    constexpr auto smallestMemory = std::size_t { 160 } << 20;
    constexpr auto smallestDescriptors = std::size_t { 4'100 };
    constexpr auto largestRequest = (std::size_t { 4 } << 20) + (std::size_t { 16 } << 10);

    auto smallestMachine() -> RelaySettings
    {
        auto settings = RelaySettings();
        settings.m_memoryBytes = smallestMemory;
        settings.m_maxDescriptors = smallestDescriptors;
        return settings;
    }

    TEST(NodeCapacityTest, ASingleRequestAtTheLimitHasRoomOnTheSmallestMachine)
    {
        constexpr auto fieldsOfSmallestSize = std::size_t { 4'096 } * 128;
        EXPECT_GE(capacityOf(smallestMachine()).m_callers.m_heldBytes, largestRequest + fieldsOfSmallestSize);
    }

    TEST(NodeCapacityTest, WhatClientsMayTakeLeavesAThirdOfTheMemory)
    {
        constexpr auto bytesOfConnection = freeBytesOfConnection + (std::size_t { 8 } << 10);
        const auto capacity = capacityOf(smallestMachine());
        const auto taken = capacity.m_callers.m_connections * bytesOfConnection
            + capacity.m_callers.m_heldBytes + capacity.m_peerAnswerBytes;
        EXPECT_LE(taken, smallestMemory * 2 / 3);
    }

    TEST(NodeCapacityTest, WhatClientsMayTakeLeavesDescriptorsForTunnelsUpstreamsAndTheStore)
    {
        constexpr auto otherPorts = 4U; // Readiness, directory, metrics and peers.
        constexpr auto upstreamsAndStore = std::size_t { 100 };
        for (const auto descriptors : { std::size_t { 1'024 }, smallestDescriptors }) {
            auto settings = smallestMachine();
            settings.m_maxDescriptors = descriptors;
            const auto capacity = capacityOf(settings);
            const auto taken = capacity.m_callers.m_connections + otherPorts * capacity.m_otherConnections;
            EXPECT_LE(taken + descriptors / 3 + upstreamsAndStore, descriptors);
        }
    }

} // namespace
} // namespace marigoldladder::relay
