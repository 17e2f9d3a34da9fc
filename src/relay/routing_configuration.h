// The routing configuration in force: which requests are allowed, for whom, and where they may run.
#pragma once

#include "marigoldladder/enum_names.h"
#include "marigoldladder/ids.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marigoldladder::relay {

using Milliseconds = std::chrono::milliseconds;

// Whether a request may run more than once.
enum class CallKind {
    Idempotent, // May run any number of times.
    AtMostOnce, // May run once per attempt of the caller.
    Stream, // Its answer is a stream of events; it may run again only if the route is resumable.
};

inline constexpr auto callKindNames = std::array {
    EnumName<CallKind> { CallKind::Idempotent, "idempotent" },
    EnumName<CallKind> { CallKind::AtMostOnce, "at_most_once" },
    EnumName<CallKind> { CallKind::Stream, "stream" },
};

// One of the pools that a route's requests are distributed over, by weight.
struct WeightedPool {
    PoolName m_pool;
    double m_weight = 1;
};

struct Route {
    std::string m_name;
    std::string m_host;
    std::string m_pathPrefix; // Begins and ends with a slash.
    CallKind m_kind = CallKind::AtMostOnce;
    bool m_resumable = false; // A broken stream may resume at another upstream.
    bool m_openToAll = false; // Callers need no key.
    Milliseconds m_timeout { 0 }; // Zero: none.
    Milliseconds m_targetLatency { 0 };
    Milliseconds m_targetEventGap { 0 }; // Target for the longest gap between two events of a stream.
    int m_priority = 0; // 0 is the most urgent.
    std::size_t m_maxUpstreams = 1; // On how many upstreams one attempt of a caller may run.
    std::vector<WeightedPool> m_pools;
    std::vector<std::string> m_regions; // Where it may run; empty: anywhere.
};

// Whether a request on this route may run again after it may have run.
auto mayRetry(const Route&) -> bool;

// Whether a stream of this route may go on at another upstream, also by a further attempt of its caller.
auto mayBeTakenUp(const Route&) -> bool;

struct Organisation {
    OrganisationName m_name;
    std::optional<int> m_priority; // Overrides the route's.
    double m_tokensPerSecond = 0; // 0: no limit.
    double m_burstTokens = 0;
    double m_defaultRequestTokens = 0; // Charged to a request that states no token count.
    std::vector<std::string> m_regions;
};

// A base model that the engines of a pool can be ordered to load.
struct EngineModel {
    std::string m_name;
    double m_megabytes = 0;
    Milliseconds m_loadTime { 0 }; // From the weight store, while few loads run.
};

// What the engines of a pool can be ordered to load.
struct EnginePool {
    std::vector<EngineModel> m_models;
    double m_loadsPerSecond = 0; // Model loads that the weight store can sustain for all engines together.
    double m_megabytes = 0; // Capacity of one engine for weights and adapters.
    std::size_t m_adapterSlots = 0; // Capacity of one engine, in adapters.
    std::size_t m_slots = 0; // Requests that one engine runs at once.
    double m_memoryTokens = 0; // Tokens that running requests and cached prompts may occupy.
};

struct Pool {
    PoolName m_name;
    std::size_t m_maxConnections = 0; // To one upstream from all callers; 0: no bound.
    Milliseconds m_coldTime { 0 }; // Length of an upstream's warm-up after its start.
    double m_coldRequestsPerSecond = 0; // Request rate of a cold upstream from all VMs together.
    std::optional<EnginePool> m_engine; // Absent for plain services.
};

// Bounds on what a caller may send and on how long it may take.
struct CallerBounds {
    std::size_t m_headerBytes = 16'384;
    std::size_t m_bodyBytes = 4'194'304;
    Milliseconds m_headerTimeout { 3'000 };
    Milliseconds m_bodyTimeout { 10'000 }; // For the whole body.
    Milliseconds m_idleTimeout { 15'000 };
};

// A digest of a caller's key. The key itself isn't stored.
struct KeyDigest {
    std::uint64_t m_low = 0;
    std::uint64_t m_high = 0;
    auto operator==(const KeyDigest&) const -> bool = default;
};

struct KeyDigestHash {
    auto operator()(const KeyDigest& digest) const noexcept -> std::size_t { return digest.m_low; }
};

auto digestOf(std::string_view key) -> KeyDigest;

struct RoutingConfiguration {
    std::uint64_t m_version = 0; // Only grows within one process.
    std::unordered_map<std::string, std::vector<Route>> m_routesByHost; // Longest prefix first.
    std::map<PoolName, Pool> m_pools;
    std::vector<Organisation> m_organisations;
    std::unordered_map<KeyDigest, std::size_t, KeyDigestHash> m_keys; // Index into `m_organisations`.
    CallerBounds m_callerBounds;
};

// Sorts each host's routes by prefix length, longest first, as `findRoute` requires.
auto sortRoutes(RoutingConfiguration&) -> void;

// Returns the route with the longest prefix that begins the path, or a null pointer.
auto findRoute(const RoutingConfiguration&, std::string_view host, std::string_view path) -> const Route*;

// Returns what the engines of the pool can be ordered to load; null if there is no such pool of engines.
auto findEnginePool(const RoutingConfiguration&, const PoolName&) -> const EnginePool*;

// Returns the organisation that the key belongs to, or a null pointer.
auto findOrganisation(const RoutingConfiguration&, std::string_view key) -> const Organisation*;

} // namespace marigoldladder::relay
