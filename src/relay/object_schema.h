// The store's kinds of objects: their names, and what their contents say.
#pragma once

#include "core/metrics.h"
#include "relay/object_cache.h"
#include "relay/upstream.h"

#include <functional>
#include <optional>
#include <string>

namespace marigoldladder::relay {

// The names of the store's kinds of objects, and the functions that decode an object's content.
//
// A function returns nothing if the content can't be decoded.
struct ObjectSchema {
    std::string m_configurationKind;
    std::string m_upstreamKind;
    std::string m_evacuationKind; // One object for each data centre that gets no new work.
    std::string m_versionKind; // Announced versions of adapters.
    std::function<std::optional<RoutingConfiguration>(const nlohmann::json&)> m_readConfiguration;
    std::function<std::optional<std::uint64_t>(const nlohmann::json&)> m_readConfigurationVersion;
    std::function<std::optional<UpstreamRecord>(const std::string& name, const nlohmann::json&)>
        m_readUpstream;
    std::function<std::optional<ListedAdapter>(const nlohmann::json&)> m_readVersion;
    std::string m_configurationName {}; // Of the only object that holds a configuration; empty: any does.
};

// Returns the store's name of a kind.
auto kindName(const ObjectSchema&, ObjectKind) -> const std::string&;

// Returns how objects of a kind change. The schema must outlive the rules.
auto rulesOf(const ObjectSchema&, ObjectKind) -> KindRules;

// Returns the same schema, in which an object that makes its reader throw counts as one that can't be read.
// The exception is recorded.
auto withRecordedExceptions(const ObjectSchema&, Metrics&) -> ObjectSchema;

} // namespace marigoldladder::relay
