// Upstreams as this node knows them: what they say of themselves, and what was seen of them here.
#pragma once

#include "core/blackboard.h"
#include "marigoldladder/ids.h"
#include "marigoldladder/settings.h"
#include "relay/routing_configuration.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace marigoldladder::relay {

// An adapter that an engine lists as loaded, written `model/adapter`, at a version.
struct ListedAdapter {
    std::string m_key;
    std::uint64_t m_version = 0;
};

// What an upstream says of itself.
struct UpstreamRecord {
    UpstreamName m_name; // Names one run of the upstream, as a rule.
    PoolName m_pool;
    Address m_address;
    DataCentreName m_dataCentre;
    std::size_t m_slots = 0;
    bool m_leaving = false;
    Milliseconds m_coldLeft { 0 };
    std::uint64_t m_startedAt = 0; // Unix milliseconds; two runs under one name differ in it.
    std::vector<std::string> m_models;
    std::vector<ListedAdapter> m_adapters;
};

// What this node believes of an adapter at an engine.
struct AdapterPresence {
    std::uint64_t m_version = 0;
    MonotonicTime m_readyAt {}; // Before it, a load is in progress.
    MonotonicTime m_learntAt {}; // When this was learnt by order or answer; newer than a listing for a while.
    int m_refusals = 0; // Requests in a row that the engine refused for want of it.
    bool m_listed = false; // The engine itself listed it.
    bool m_evicted = false; // It was ordered to go; a listing made before may still show it.
    bool m_occupiesSlot = true; // It takes a place; a dropped one does until its requests have ended.
    bool m_missing = false; // Requests were refused for want of it; it may take a place all the same.
};

// Recent failures of an upstream, as seen here.
struct UpstreamHealth {
    double m_failures = 0; // Decaying count.
    double m_successes = 0; // Decaying count.
    MonotonicTime m_updatedAt {};
    MonotonicTime m_avoidUntil {}; // Gets work only if no other can.
    Milliseconds m_avoidTime { 0 }; // The last avoidance; doubles while failures go on.
};

// Whether connections to an upstream were refused lately: nobody listens there, as after a crash.
struct UpstreamReachability {
    MonotonicTime m_refusedAt {}; // To this node; zero: not since the last answer.
    std::map<VmName, MonotonicTime> m_refusedPeers; // To which other nodes, and when this node was told.
};

struct Upstream {
    UpstreamRecord m_record;
    std::unordered_map<std::string, AdapterPresence> m_adapters; // By `model/adapter`.
    MonotonicTime m_reportedAt {}; // When the engine itself last told this node what it holds.
    MonotonicTime m_coldUntil {};
    double m_coldAllowance = 0; // Requests that this node may still send while it is cold.
    MonotonicTime m_coldRefilledAt {};
    std::size_t m_inFlight = 0; // Requests of this node.
    double m_tokensInFlight = 0; // Their tokens.
    std::size_t m_peersInFlight = 0; // Requests of the other nodes, by their latest summaries.
    double m_peersTokensInFlight = 0;
    MonotonicTime m_fullUntil {}; // It refused for load.
    MonotonicTime m_blockedUntil {}; // An order keeps it from starting requests.
    UpstreamHealth m_health;
    UpstreamReachability m_reachability;
    bool m_removed = false; // Left the list; only running requests still refer to it.
};

using UpstreamPointer = std::shared_ptr<Upstream>;

// All upstreams, by name.
struct UpstreamTable {
    std::map<UpstreamName, UpstreamPointer> m_upstreams;
    std::unordered_map<std::uint32_t, UpstreamPointer> m_byShortId; // The same ones, as nodes name them.
    std::map<DataCentreName, bool> m_evacuated; // Data centres that get no new work.
    std::unordered_map<std::string, std::uint64_t> m_newestVersions; // Announced, by `model/adapter`.
    std::unordered_map<std::string, MonotonicTime> m_announcedAt; // When this node learnt of it.
    bool m_known = false;
};

} // namespace marigoldladder::relay
