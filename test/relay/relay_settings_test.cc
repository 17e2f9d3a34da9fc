#include "relay/relay_settings.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    constexpr auto complete = R"({"vm":"v","data_centre":"dc","region":"r","data_centre_regions":{"dc":"r"},
        "caller_address":"10.0.0.1:1","readiness_address":"10.0.0.1:2","directory_address":"10.0.0.1:3",
        "peer_address":"10.0.0.1:4","metrics_address":"10.0.0.1:5","store_address":"10.0.0.9:6",
        "first_start":true,"bounds":{"retry_ratio":0.2,"stop_s":8,"lease_ms":3000,"allowance_window_s":6,"allowance_excess":0.2}})";

    TEST(RelaySettingsTest, ReadsACompleteFile)
    {
        const auto settings = parseRelaySettings(complete);
        ASSERT_TRUE(settings);
        EXPECT_EQ(settings.value().m_regions.at(DataCentreName("dc")), "r");
        EXPECT_EQ(settings.value().m_bounds.m_stopTime, Milliseconds(8'000));
        EXPECT_TRUE(settings.value().m_firstStart);
        EXPECT_EQ(settings.value().m_bounds.m_allowance.m_window, std::chrono::seconds(6));
        EXPECT_EQ(settings.value().m_bounds.m_allowance.m_excess, 0.2);
    }

    TEST(RelaySettingsTest, ReportsEveryFaultWithItsPath)
    {
        const auto settings = parseRelaySettings(
            R"({"vm":"","caller_address":"nowhere","bounds":{"retry_ratio":"much"},"data_centre_regions":[]})");
        ASSERT_FALSE(settings);
        auto paths = std::string();
        for (const auto& fault : settings.error().m_faults)
            paths += fault.m_path + " ";
        for (const auto* path : { "/vm", "/data_centre ", "/caller_address", "/store_address",
                 "/bounds/retry_ratio", "/data_centre_regions" })
            EXPECT_NE(paths.find(path), std::string::npos)
                << "expected a fault at " << path << " among " << paths;
    }

    TEST(RelaySettingsTest, ReadsTheBoundOnAdapterVersions)
    {
        const auto settingsWith = [](const std::string& milliseconds) {
            auto text = std::string(complete);
            text.insert(text.find("\"retry_ratio\""), "\"adapter_version_ms\":" + milliseconds + ",");
            return parseRelaySettings(text);
        };
        const auto settings = settingsWith("4000");
        ASSERT_TRUE(settings);
        EXPECT_EQ(settings.value().m_bounds.m_versionTime, Milliseconds(4'000));
        const auto negative = settingsWith("-1");
        ASSERT_FALSE(negative);
        EXPECT_EQ(negative.error().m_faults.size(), 1U);
    }

    // A deployment that lacks a bound has null there; the node didn't start.
    TEST(RelaySettingsTest, TakesTheDefaultForANumberThatIsNull)
    {
        auto text = std::string(complete);
        text.insert(text.find("\"retry_ratio\""), "\"adapter_version_ms\":null,\"drain_ms\":null,");
        const auto settings = parseRelaySettings(text);
        ASSERT_TRUE(settings);
        EXPECT_EQ(settings.value().m_bounds.m_versionTime, FleetBounds().m_versionTime);
        EXPECT_EQ(settings.value().m_bounds.m_drainTime, FleetBounds().m_drainTime);
        text.replace(text.find("\"dc\","), 4, "null");
        EXPECT_FALSE(parseRelaySettings(text)) << "expected a fault for a required field that is null";
    }

    // The platform's settings may get new fields; a node that met one didn't start.
    TEST(RelaySettingsTest, NamesFieldsThatItDoesNotKnowAndPassesOverThem)
    {
        auto text = std::string(complete);
        text.insert(text.find("\"retry_ratio\""), "\"odd\":1,");
        text.insert(1, "\"new\":{\"a\":[1]},");
        const auto settings = parseRelaySettings(text);
        ASSERT_TRUE(settings);
        EXPECT_EQ(settings.value().m_unknownFields, (std::vector<std::string> { "/bounds/odd", "/new" }));
    }

    TEST(RelaySettingsTest, RejectsTextThatIsNotJson)
    {
        EXPECT_FALSE(parseRelaySettings("vm = 1"));
    }

} // namespace
} // namespace marigoldladder::relay
