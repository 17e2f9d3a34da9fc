#include "platform/object_decoder.h"

#include <gtest/gtest.h>

namespace marigoldladder::platform {
namespace {

    using relay::CallKind;

    auto entry() -> nlohmann::json
    {
        return nlohmann::json::parse(R"({"service":"pool-a","address":"10.128.0.9:8080","zone":"bern-a",
            "version":"v1","slots":64,"state":"ready","cold_left_ms":0,"phase":"both","sequence":4,
            "born":1785960494134,
            "models":[{"name":"m","version":1,"adapters":["a3@2","a7"]}]})");
    }

    TEST(ObjectDecoderTest, DecodesAnUpstreamEntry)
    {
        const auto record = decodeUpstream("i-1", entry());
        ASSERT_TRUE(record);
        EXPECT_EQ(record->m_name, UpstreamName("i-1"));
        EXPECT_EQ(record->m_pool, PoolName("pool-a"));
        EXPECT_EQ(formatAddress(record->m_address), "10.128.0.9:8080");
        EXPECT_FALSE(record->m_leaving);
        EXPECT_EQ(record->m_startedAt, 1785960494134U);
        ASSERT_EQ(record->m_adapters.size(), 2U);
        EXPECT_EQ(record->m_adapters[0].m_key, "m/a3");
        EXPECT_EQ(record->m_adapters[0].m_version, 2U);
        EXPECT_EQ(record->m_adapters[1].m_version, 1U);
    }

    TEST(ObjectDecoderTest, RejectsAnEntryWithAMissingOrMistypedField)
    {
        for (const auto* field :
            { "service", "address", "zone", "version", "state", "slots", "cold_left_ms", "sequence" }) {
            auto missing = entry();
            missing.erase(field);
            EXPECT_FALSE(decodeUpstream("i-1", missing))
                << "expected no upstream from an entry without " << field;
            auto mistyped = entry();
            mistyped[field] = nlohmann::json::array({ 1 });
            EXPECT_FALSE(decodeUpstream("i-1", mistyped))
                << "expected no upstream from an entry with a mistyped " << field;
        }
    }

    TEST(ObjectDecoderTest, TellsVersionsOfTheSoftwareApartWithinAPool)
    {
        const auto softwareOf = [](const nlohmann::json& changes) {
            auto json = entry();
            json.update(changes);
            return decodeUpstream("i-1", json).value().m_software;
        };
        EXPECT_EQ(softwareOf({ { "slots", 1 } }), softwareOf({ { "version", "v1" } }));
        EXPECT_NE(softwareOf({ { "version", "v1" } }), softwareOf({ { "version", "v2" } }));
        EXPECT_NE(softwareOf({ { "version", 1 } }), softwareOf({ { "version", 2 } }));
        EXPECT_NE(softwareOf({ { "service", "x" } }), softwareOf({ { "service", "y" } }));
    }

    TEST(ObjectDecoderTest, RejectsAnEntryWithAnInvalidValue)
    {
        auto state = entry();
        state["state"] = "sleeping";
        EXPECT_FALSE(decodeUpstream("i-1", state));
        auto address = entry();
        address["address"] = "nowhere";
        EXPECT_FALSE(decodeUpstream("i-1", address));
        auto born = entry();
        born["born"] = 1.5;
        EXPECT_FALSE(decodeUpstream("i-1", born));
        EXPECT_FALSE(decodeUpstream("i-1", nlohmann::json("text")));
        EXPECT_FALSE(decodeUpstream("i-1", nlohmann::json()));
        EXPECT_FALSE(decodeUpstream("", entry()));
    }

    TEST(ObjectDecoderTest, BoundsNumbersThatAreTooLarge)
    {
        auto large = entry();
        large["slots"] = 1e300;
        large["cold_left_ms"] = 1e300;
        const auto record = decodeUpstream("i-1", large);
        ASSERT_TRUE(record);
        EXPECT_EQ(record->m_slots, 1'000'000U);
        EXPECT_EQ(record->m_coldLeft, std::chrono::hours(24));
        const auto configuration = decodeConfiguration(nlohmann::json::parse(R"({"version":7,
            "routes":[{"host":"h","path_prefix":"/","timeout_ms":1e300,"attempts":-1e300,"priority":1e300}],
            "services":[{"name":"x","cold_start_s":1e300}],
            "tenants":[{"name":"t","api_keys":["k"],"priority":-1e300}]})"));
        ASSERT_TRUE(configuration);
        const auto* route = findRoute(*configuration, "h", "/");
        ASSERT_TRUE(route);
        EXPECT_EQ(route->m_timeout, std::chrono::hours(24));
        EXPECT_EQ(route->m_maxUpstreams, 1U);
        EXPECT_EQ(route->m_priority, 1'000'000);
        EXPECT_EQ(findOrganisation(*configuration, "k")->m_priority, -1'000'000);
        EXPECT_EQ(configuration->m_pools.at(PoolName("x")).m_coldTime, std::chrono::hours(24));
    }

    TEST(ObjectDecoderTest, DecodesAConfiguration)
    {
        const auto configuration = decodeConfiguration(nlohmann::json::parse(R"({"version":7,"routes":[
            {"name":"r1","host":"h.example","path_prefix":"/a/","type":"streaming","timeout_ms":12000,
             "target_latency_ms":600,"priority":1,"backends":[{"service":"x","weight":90},{"service":"y","weight":10}],
             "attempts":2,"public":false,"resumable":true,"gap_target_ms":300},
            {"name":"r2","host":"h.example","path_prefix":"/a/b/","type":"safe","service":"z","attempts":2},
            {"name":"r3","host":"h.example","path_prefix":"/c/","type":"unheard-of","service":"z"}],
            "services":[{"name":"x","max_conns":370,"cold_start_s":3.0,"cold_per_s":15.0,
                "engine":{"slots":64,"kv_capacity":122633,"models":[{"name":"m","weights_mb":65100,"load_time_s":1.4}],
                          "weights_mb":66700.0,"adapter_slots":22}}],
            "limits":{"max_body_bytes":1000,"idle_timeout_ms":15000},
            "tenants":[{"name":"t","api_keys":["k1","k2"],"priority":3,"plain_tokens":200,"rate_per_s":87200,"burst":87200}]})"));
        ASSERT_TRUE(configuration);
        const auto* nested = findRoute(*configuration, "h.example", "/a/b/x");
        ASSERT_TRUE(nested);
        EXPECT_EQ(nested->m_name, "r2") << "expected the route with the longest prefix";
        const auto* route = findRoute(*configuration, "h.example", "/a/x");
        ASSERT_TRUE(route);
        EXPECT_EQ(route->m_kind, CallKind::Stream);
        EXPECT_TRUE(mayRetry(*route));
        EXPECT_EQ(route->m_pools.size(), 2U);
        EXPECT_FALSE(findRoute(*configuration, "h.example", "/a"))
            << "expected no route, as the path lacks the prefix's last slash";
        EXPECT_FALSE(findRoute(*configuration, "other.example", "/a/x"));
        EXPECT_FALSE(mayRetry(*findRoute(*configuration, "h.example", "/c/")))
            << "a kind that isn't known is never repeated";
        ASSERT_TRUE(findOrganisation(*configuration, "k2"));
        EXPECT_EQ(findOrganisation(*configuration, "k2")->m_priority, 3);
        EXPECT_FALSE(findOrganisation(*configuration, "k3"));
        EXPECT_EQ(configuration->m_callerBounds.m_bodyBytes, 1000U);
        EXPECT_EQ(configuration->m_pools.at(PoolName("x")).m_engine->m_adapterSlots, 22U);
    }

    TEST(ObjectDecoderTest, RejectsObjectsThatAreNotConfigurations)
    {
        EXPECT_FALSE(decodeConfiguration(nlohmann::json::parse(R"({"routes":[]})")));
        EXPECT_FALSE(decodeConfiguration(nlohmann::json::parse(R"({"version":"seven"})")));
        EXPECT_FALSE(decodeConfiguration(nlohmann::json::parse(R"([1])")));
    }

    TEST(ObjectDecoderTest, DecodesAReportWithPendingAdapters)
    {
        const auto report = decodeEngineReport(nlohmann::json::parse(
            R"({"models":[{"name":"m","version":1,"adapters":["a1@1"]}],"pending":["m/a2@3","odd"],"born":5})"));
        ASSERT_TRUE(report);
        EXPECT_EQ(report->m_adapters.size(), 1U);
        ASSERT_EQ(report->m_pending.size(), 1U);
        EXPECT_EQ(report->m_pending[0].m_key, "m/a2");
        EXPECT_EQ(report->m_pending[0].m_version, 3U);
        EXPECT_FALSE(decodeEngineReport(nlohmann::json::parse(R"({"models":"none"})")));
    }

    TEST(ObjectDecoderTest, DecodesTheModelsThatAnEngineHasCopiesOf)
    {
        const auto report = decodeEngineReport(
            nlohmann::json::parse(R"({"models":[],"available":{"in_memory":["m1"],"on_disk":["m1","m2"]}})"));
        ASSERT_TRUE(report);
        EXPECT_EQ(report->m_cachedModels, (std::vector<std::string> { "m1", "m1", "m2" }));
        const auto odd = decodeEngineReport(nlohmann::json::parse(R"({"models":[],"available":["m1"]})"));
        ASSERT_TRUE(odd);
        EXPECT_TRUE(odd->m_cachedModels.empty());
    }

    TEST(ObjectDecoderTest, DecodesAnAnnouncedVersion)
    {
        const auto version
            = decodeAdapterVersion(nlohmann::json::parse(R"({"model":"m","adapter":"a1","version":4})"));
        ASSERT_TRUE(version);
        EXPECT_EQ(version->m_key, "m/a1");
        EXPECT_FALSE(decodeAdapterVersion(nlohmann::json::parse(R"({"model":"m","version":4})")));
        EXPECT_FALSE(
            decodeAdapterVersion(nlohmann::json::parse(R"({"model":"m","adapter":"a1","version":"x"})")));
    }

    TEST(ObjectDecoderTest, RejectsANameThatNoHeaderCarries)
    {
        for (const auto& name : { std::string(""), std::string(" "), std::string("i-1 "),
                 std::string("\ti-1"), std::string("i-1\r\nx: y"), std::string("i-1\nx"),
                 std::string("i-1\0x", 5), std::string("i-1\x7f") })
            EXPECT_FALSE(decodeUpstream(name, entry())) << name;
        for (const auto& name : { std::string("i-1 x"), std::string("i-1+&#%x"), std::string("i-1\xc3\xa9"),
                 std::string("i-1/..\"\\") })
            EXPECT_TRUE(decodeUpstream(name, entry())) << name;
    }

    TEST(ObjectDecoderTest, LeavesOutAnOrganisationWhoseNameNoHeaderCarries)
    {
        const auto configuration = decodeConfiguration(nlohmann::json::parse(R"({"version":7,"tenants":[
            {"name":"acme\r\nx: y","api_keys":["key-1"]},{"name":"beta","api_keys":["key-2"]}]})"));
        ASSERT_TRUE(configuration);
        ASSERT_EQ(configuration->m_organisations.size(), 1U);
        EXPECT_EQ(configuration->m_organisations[0].m_name, OrganisationName("beta"));
        EXPECT_EQ(configuration->m_keys.size(), 1U);
        EXPECT_EQ(configuration->m_keys.at(relay::digestOf("key-2")), 0U);
    }

} // namespace
} // namespace marigoldladder::platform
