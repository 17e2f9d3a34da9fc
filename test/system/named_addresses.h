// What the address question is answered with, for the tests of members.
#pragma once

#include "harness/deployment.h"

#include <chrono>
#include <map>
#include <string>

namespace marigoldladder::harness {

// The users' bound for news to be in force everywhere.
inline constexpr auto withinSeconds = std::chrono::seconds(4);

// Asks a node which addresses to use; returns them by VM. Empty when it does not answer.
inline auto namedBy(const RunningNode& node) -> std::map<std::string, Address>
{
    auto named = std::map<std::string, Address>();
    const auto answer = makeCaller(node.m_caller, basicKey).Get("/v1/addresses");
    if (!answer)
        return named;
    const auto json = nlohmann::json::parse(answer->body);
    for (const auto& row : json["addresses"]) {
        const auto prefix = row["key_prefix"].get<std::string>();
        named[prefix.substr(0, prefix.find('.'))] = parseAddress(row["address"].get<std::string>()).value();
    }
    return named;
}

// Whether every running node but those at the indices in `except` names exactly this number of nodes.
inline auto allName(Deployment& deployment, std::size_t count, std::size_t except) -> bool
{
    for (auto i = std::size_t { 0 }; i < deployment.nodeCount(); ++i) {
        if (i != except && namedBy(deployment.node(i)).size() != count)
            return false;
    }
    return true;
}

inline constexpr auto noNode = static_cast<std::size_t>(-1);

// Nodes over three data centres, with two engines.
inline auto planOfNodes(std::size_t count) -> DeploymentPlan
{
    auto plan = smallPlan();
    plan.m_nodes.clear();
    const auto centres = std::array { "bern-a", "olten", "solothurn" };
    for (auto i = std::size_t { 0 }; i < count; ++i)
        plan.m_nodes.push_back({ "entry-" + std::to_string(i), centres.at(i % centres.size()) });
    return plan;
}

inline auto drainNote(const std::string& id, const std::string& action, const std::string& scope,
    const std::string& name) -> nlohmann::json
{
    auto change = nlohmann::json { { action, "drain" }, { "scope", scope }, { "name", name } };
    return { { "note_id", id }, { "changes", nlohmann::json::array({ change }) } };
}

inline auto nowMilliseconds() -> std::int64_t
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace marigoldladder::harness
