#include "demo_site.h"

#include <fstream>
#include <stdexcept>

namespace marigoldladder::fakes {

namespace {

    auto readJson(const std::string& path) -> nlohmann::json
    {
        auto file = std::ifstream(path);
        if (!file)
            throw std::runtime_error(path + " can't be read");
        return nlohmann::json::parse(file);
    }

    auto readPool(const nlohmann::json& pool, Site& site) -> void
    {
        const auto name = pool.at("name").get<std::string>();
        const auto kind = pool.at("kind").get<std::string>();
        if (kind == "engine")
            site.m_modelPool = name;
        const auto replicas = pool.at("replicas").get<std::size_t>();
        for (auto i = std::size_t { 0 }; i < replicas; ++i) {
            auto upstream = harness::UpstreamPlan();
            upstream.m_name = name + "-" + std::to_string(i + 1);
            upstream.m_pool = name;
            upstream.m_dataCentre = site.m_dataCentres[i % site.m_dataCentres.size()];
            upstream.m_kind = kind;
            upstream.m_arguments = pool.at("arguments").get<std::vector<std::string>>();
            site.m_deployment.m_upstreams.push_back(std::move(upstream));
        }
    }

    auto readGroup(const nlohmann::json& organisation, const std::string& dataCentre) -> CallerGroup
    {
        auto group = CallerGroup();
        group.m_organisation = OrganisationName(organisation.at("name").get<std::string>());
        group.m_key = organisation.at("key").get<std::string>();
        group.m_dataCentre = DataCentreName(dataCentre);
        group.m_callers = organisation.at("callers").get<std::size_t>();
        group.m_priority = organisation.at("priority").get<std::string>();
        group.m_maxTokens = organisation.at("max_tokens").get<int>();
        group.m_meanThinkTime = std::chrono::milliseconds(organisation.at("think_ms").get<int>());
        return group;
    }

} // namespace

auto readSite(const std::string& path) -> Site
{
    const auto json = readJson(path);
    auto site = Site();
    site.m_dataCentres = json.at("data_centres").get<std::vector<std::string>>();
    const auto settings = json.value("node_settings", nlohmann::json::object());
    for (const auto& node : json.at("nodes"))
        site.m_deployment.m_nodes.push_back({ node.at("vm"), node.at("data_centre"), settings });
    for (const auto& pool : json.at("pools"))
        readPool(pool, site);
    for (const auto& organisation : json.at("organisations")) {
        const auto position = site.m_load.m_groups.size() % site.m_dataCentres.size();
        site.m_load.m_groups.push_back(readGroup(organisation, site.m_dataCentres[position]));
    }
    site.m_load.m_adapters = json.at("adapters").get<std::size_t>();
    site.m_load.m_zipfExponent = json.at("zipf_exponent").get<double>();
    return site;
}

auto readFirstNote(const std::string& path, const Site& site) -> nlohmann::json
{
    auto note = readJson(path);
    for (auto i = std::size_t { 0 }; i < site.m_load.m_adapters; ++i) {
        note["changes"].push_back({ { "put", "adapter" }, { "name", "adapter-" + std::to_string(i) },
            { "version", "1" }, { "pool", site.m_modelPool } });
    }
    return note;
}

} // namespace marigoldladder::fakes
