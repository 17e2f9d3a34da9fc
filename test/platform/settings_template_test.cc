// The template from which the platform makes a node's settings: deploy/settings.json.
#include "relay/relay_settings.h"

#include <algorithm>
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace marigoldladder::platform {
namespace {

    // Fills in a template as the platform's documentation says: `{{a.b}}`, with `|json` as JSON, and sections
    // that are rendered if there is a value (`#`) or if there is none (`^`). What has no value gives nothing.
    class Template {
    public:
        explicit Template(std::string text)
            : m_text(std::move(text))
        {
        }

        auto fill(const nlohmann::json& fields) const -> std::string { return fill(m_text, fields); }

    private:
        static auto find(const nlohmann::json& fields, const std::string& name) -> nlohmann::json
        {
            auto pointer = "/" + name;
            std::replace(pointer.begin(), pointer.end(), '.', '/');
            const auto path = nlohmann::json::json_pointer(pointer);
            return fields.contains(path) ? fields.at(path) : nlohmann::json();
        }

        static auto textOf(const nlohmann::json& value, bool asJson) -> std::string
        {
            if (value.is_null())
                return {};
            return value.is_string() && !asJson ? value.get<std::string>() : value.dump();
        }

        static auto fill(const std::string& text, const nlohmann::json& fields) -> std::string
        {
            const auto begin = text.find("{{");
            if (begin == std::string::npos)
                return text;
            const auto end = text.find("}}", begin);
            auto name = text.substr(begin + 2, end - begin - 2);
            auto filled = text.substr(0, begin);
            auto rest = end + 2;
            if (name.front() == '#' || name.front() == '^') {
                const auto close = "{{/" + name.substr(1) + "}}";
                const auto closesAt = text.find(close, rest);
                const auto value = find(fields, name.substr(1));
                const auto has = !value.is_null() && value != false;
                if (has == (name.front() == '#'))
                    filled += fill(text.substr(rest, closesAt - rest), fields);
                rest = closesAt + close.size();
            } else {
                const auto asJson = name.ends_with("|json");
                filled += textOf(find(fields, name.substr(0, name.find('|'))), asJson);
            }
            return filled + fill(text.substr(rest), fields);
        }

        std::string m_text;
    };

    auto settingsTemplate() -> Template
    {
        auto file = std::ifstream(MARIGOLDLADDER_SOURCE "/deploy/settings.json");
        return Template({ std::istreambuf_iterator<char>(file), {} });
    }

    // What a process may be told of itself, with every field that the template uses.
    auto allFields() -> nlohmann::json
    {
        return { { "node_name", "vm-1" }, { "ip", "10.1.0.25" }, { "zone", "here" }, { "region", "r" },
            { "zones", { { "here", "r" } } }, { "port_range", { 7'600, 7'615 } }, { "bootstrap", false },
            { "listen",
                { { "frontend", "10.1.0.25:8221" }, { "ready", "10.1.0.25:8224" },
                    { "registry", "10.1.0.25:8220" } } },
            { "platform", { { "address", "10.200.1.7:8225" } } },
            { "limits", { { "cpu_share", 0.25 }, { "cores", 1 }, { "max_fds", 4'100 } } },
            { "bounds",
                { { "budget_ratio", 0.2 }, { "budget_extra", 56 }, { "budget_window_s", 10 },
                    { "drain_ms", 0 }, { "grace_s", 7 }, { "lease_ms", 2'500 }, { "version_ms", 4'000 },
                    { "quota_window_s", 9 }, { "quota_excess", 0.3 } } } };
    }

    TEST(SettingsTemplateTest, CarriesWhatThePlatformTells)
    {
        const auto settings = relay::parseRelaySettings(settingsTemplate().fill(allFields()));
        ASSERT_TRUE(settings);
        EXPECT_EQ(settings.value().m_vm.value(), "vm-1");
        EXPECT_EQ(formatAddress(settings.value().m_metricsAddress), "10.1.0.25:7615");
        EXPECT_EQ(settings.value().m_maxDescriptors, 4'100);
        EXPECT_EQ(settings.value().m_bounds.m_drainTime, relay::Milliseconds(0));
        EXPECT_EQ(settings.value().m_bounds.m_stopTime, relay::Milliseconds(7'000));
        EXPECT_FALSE(settings.value().m_firstStart);
        EXPECT_TRUE(settings.value().m_unknownFields.empty());
    }

    TEST(SettingsTemplateTest, CarriesTheFirstStart)
    {
        auto fields = allFields();
        fields["bootstrap"] = true;
        const auto settings = relay::parseRelaySettings(settingsTemplate().fill(fields));
        ASSERT_TRUE(settings);
        EXPECT_TRUE(settings.value().m_firstStart);
    }

    // Issue 47: a field that a deployment lacks left a hole in the settings, which were no JSON then, and no
    // node started.
    TEST(SettingsTemplateTest, GivesValidSettingsWithoutAnyFieldThatADeploymentMayLack)
    {
        auto optional = std::vector<std::string> { "/bootstrap", "/region", "/zones", "/limits", "/bounds" };
        for (const auto* group : { "limits", "bounds" }) {
            const auto fields = allFields();
            for (const auto& [name, value] : fields.at(group).items())
                optional.push_back(std::string("/") + group + "/" + name);
        }
        for (const auto& path : optional) {
            auto fields = allFields();
            auto pointer = nlohmann::json::json_pointer(path);
            fields.at(pointer.parent_pointer()).erase(pointer.back());
            const auto text = settingsTemplate().fill(fields);
            EXPECT_TRUE(relay::parseRelaySettings(text)) << "without " << path << ":\n" << text;
        }
    }

} // namespace
} // namespace marigoldladder::platform
