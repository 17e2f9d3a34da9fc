#include "marigoldladder/settings.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace marigoldladder {
namespace {

    auto goodSettings() -> nlohmann::json
    {
        return {
            { "vm", "bern-a-1" },
            { "data_centre", "bern-a" },
            { "caller_address", "127.0.0.1:7001" },
            { "operator_address", "127.0.0.1:7002" },
            { "peer_address", "127.0.0.1:7003" },
            { "platform_address", "127.0.0.1:7000" },
            { "fleet_secret", "a-secret-of-the-fleet" },
        };
    }

    auto faultsOf(const nlohmann::json& json) -> std::vector<std::string>
    {
        auto faults = std::vector<std::string>();
        const auto settings = parseNodeSettings(json.dump());
        if (settings)
            return faults;
        for (const auto& fault : settings.error().m_faults)
            faults.push_back(fault.m_path + " " + fault.m_message);
        return faults;
    }

    using Faults = std::vector<std::string>;

    TEST(SettingsTest, ReadsWhatIsGivenAndDefaultsTheRest)
    {
        const auto settings = parseNodeSettings(goodSettings().dump());
        ASSERT_TRUE(settings);
        EXPECT_EQ(settings.value().m_vm.value(), "bern-a-1");
        EXPECT_EQ(settings.value().m_callerAddress.m_port, 7001);
        EXPECT_EQ(settings.value().m_advertisedCallerAddress, settings.value().m_callerAddress);
        EXPECT_TRUE(settings.value().m_entryRole && settings.value().m_ownerRole);
    }

    TEST(SettingsTest, NamesAnUnknownField)
    {
        auto json = goodSettings();
        json["colour"] = "orange";
        EXPECT_EQ(faultsOf(json), Faults { "/colour is not known here" });
    }

    TEST(SettingsTest, NamesAMissingField)
    {
        auto json = goodSettings();
        json.erase("vm");
        EXPECT_EQ(faultsOf(json), Faults { "/vm is missing" });
    }

    TEST(SettingsTest, NamesAWrongType)
    {
        auto json = goodSettings();
        json["vm"] = 7;
        EXPECT_EQ(faultsOf(json), Faults { "/vm must be a string that is not empty" });
    }

    TEST(SettingsTest, NamesANumberOutOfRangeWithItsPath)
    {
        auto json = goodSettings();
        json["limits"] = { { "max_connections", 1 } };
        EXPECT_EQ(faultsOf(json), Faults { "/limits/max_connections must be within 8.0 and 10000.0, not 1" });
    }

    TEST(SettingsTest, NamesAnOperatorThatIsThereTwice)
    {
        const auto grant = nlohmann::json { { "name", "anna" }, { "office", "bern" }, { "salt", "s" },
            { "credential_digest", "d" } };
        auto json = goodSettings();
        json["operators"] = { grant, grant };
        EXPECT_EQ(faultsOf(json), Faults { "/operators/1/name is there twice" });
    }

    TEST(SettingsTest, NamesADuplicateField)
    {
        auto text = goodSettings().dump();
        text.insert(1, R"("vm":"other",)");
        const auto settings = parseNodeSettings(text);
        ASSERT_FALSE(settings);
        EXPECT_EQ(settings.error().m_faults.front().m_message, "has the field \"vm\" twice in one object");
    }

    TEST(SettingsTest, NamesEveryFaultInOneRun)
    {
        auto json = goodSettings();
        json["caller_address"] = "nowhere";
        json["fleet_secret"] = "short";
        json["roles"] = { "king" };
        EXPECT_EQ(faultsOf(json).size(), 3U);
    }

    TEST(SettingsTest, RefusesTextThatIsNotJson)
    {
        const auto settings = parseNodeSettings("{\"vm\": ");
        ASSERT_FALSE(settings);
        EXPECT_EQ(settings.error().m_faults.front().m_path, "/");
    }

} // namespace
} // namespace marigoldladder
