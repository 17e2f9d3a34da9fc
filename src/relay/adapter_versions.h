// The versions of adapters that operators have announced, and the lowest ones on which requests may begin.
//
// For a limited time after the announcement of a version, requests may still begin on an older one. Each
// version is judged by its own announcement, so the lowest version never falls as time goes on, however many
// versions follow each other.
#pragma once

#include "core/blackboard.h"
#include "relay/routing_configuration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace marigoldladder::relay {

// An adapter at a version: loaded at an engine, or announced.
struct ListedAdapter {
    std::string m_key; // `model/adapter`.
    std::uint64_t m_version = 0;
};

// An announced version from the time on at which no request may begin on an older one.
struct RequiredVersion {
    std::uint64_t m_version = 0;
    MonotonicTime m_requiredFrom {};
};

struct AdapterVersions {
    // By `model/adapter`. The versions of one adapter ascend, and so do their times.
    std::unordered_map<std::string, std::vector<RequiredVersion>> m_required;
};

// Returns when a version that this node learnt of at `knownSince` is required. `changeTime` is the time from
// an announcement until requests may no longer begin on an older version.
auto requiredFrom(MonotonicTime knownSince, Milliseconds changeTime) -> MonotonicTime;

// Adds an announced version. Returns false if it changes nothing: a version at least as high is required as
// early.
auto announceVersion(AdapterVersions&, const ListedAdapter&, MonotonicTime requiredFrom, MonotonicTime now)
    -> bool;

// Returns the newest announced version of an adapter, or nothing if none was announced.
auto newestVersion(const AdapterVersions&, const std::string& adapter) -> std::optional<std::uint64_t>;

// Returns the lowest version on which a request may begin at `moment`, which must not be in the past; nothing
// if it may be any.
auto lowestVersionAt(const AdapterVersions&, const std::string& adapter, MonotonicTime moment)
    -> std::optional<std::uint64_t>;

// Returns the lowest version that a request sent now may use, as it begins a while later; nothing if it may
// be any.
auto lowestVersionToSend(const AdapterVersions&, const std::string& adapter, MonotonicTime now)
    -> std::optional<std::uint64_t>;

// Returns the version that a request sent now states to an engine that is believed to hold `held`; the engine
// refuses the request if it holds another one. Nothing if it may be any.
auto versionToState(const AdapterVersions&, const std::string& adapter, std::optional<std::uint64_t> held,
    MonotonicTime now) -> std::optional<std::uint64_t>;

} // namespace marigoldladder::relay
