// Upstreams in this node's view: what they report of themselves, and what this node observes of them.
#pragma once

#include "core/blackboard.h"
#include "marigoldladder/ids.h"
#include "marigoldladder/settings.h"
#include "relay/adapter_versions.h"
#include "relay/request_limit.h"
#include "relay/room_grants.h"
#include "relay/routing_configuration.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marigoldladder::relay {

// Identifies a version of the upstreams' software within its pool. Not of the weights or adapters that they
// hold.
using SoftwareId = std::uint64_t;

auto softwareIdOf(const PoolName&, std::string_view version) -> SoftwareId;

// What an upstream reports of itself.
struct UpstreamRecord {
    UpstreamName m_name; // Usually of one run of the upstream; see `m_startedAt`.
    PoolName m_pool;
    Address m_address;
    DataCentreName m_dataCentre;
    std::size_t m_slots = 0;
    bool m_leaving = false;
    Milliseconds m_coldLeft { 0 };
    SoftwareId m_software = 0; // That this run executes.
    std::uint64_t m_startedAt = 0; // Unix milliseconds. Tells apart runs that share a name.
    std::vector<std::string> m_models;
    std::vector<ListedAdapter> m_adapters;
};

// The state of an adapter at an engine in this node's view.
struct AdapterPresence {
    std::uint64_t m_version = 0;
    MonotonicTime m_readyAt {}; // Until then the load is in progress.
    MonotonicTime m_learntAt {}; // From an order or an answer; outranks an engine's listing for a while.
    int m_refusals = 0; // Consecutive requests that the engine refused because it lacked the adapter.
    bool m_listed = false; // The engine itself listed it.
    bool m_evicted = false; // Its eviction was ordered; an engine's earlier listing may still contain it.
    bool m_occupiesSlot = true; // Occupies an adapter slot; if evicted, until its requests have ended.
    bool m_missing = false; // Requests were refused for lack of it; it may occupy a slot all the same.
};

// Recent failures of an upstream, as observed by this node.
struct UpstreamHealth {
    double m_failures = 0; // Decaying count.
    double m_successes = 0; // Decaying count.
    MonotonicTime m_updatedAt {};
    MonotonicTime m_avoidUntil {}; // Until then it gets requests only if no other upstream can serve them.
    Milliseconds m_avoidTime { 0 }; // Length of the last avoidance; doubles while failures continue.
};

// Recently refused connections to an upstream: no process listens there, as after a crash.
struct UpstreamReachability {
    MonotonicTime m_refusedAt {}; // This node's connection; zero: none since the last answer.
    std::map<VmName, MonotonicTime> m_refusedPeers; // Peers that were refused, and when they reported it.
};

// This node's part in the room of an upstream whose pool is brittle.
struct RoomUse {
    RoomLedger m_ledger; // If this node owns the room.
    bool m_isAsking = false; // This node has asked for room.
    MonotonicTime m_closedUntil {}; // It gets none before.
    // While the owner doesn't answer, the next request goes without a grant then. Zero: it answers.
    MonotonicTime m_ungrantedSendAt {};
};

struct Upstream : std::enable_shared_from_this<Upstream> {
    UpstreamRecord m_record;
    std::unordered_map<std::string, AdapterPresence> m_adapters; // By `model/adapter`.
    std::vector<std::string> m_cachedModels; // Loads of these need no weight store; as of its last report.
    MonotonicTime m_reportedAt {}; // When the engine itself last reported to this node what it holds.
    MonotonicTime m_coldUntil {};
    double m_coldAllowance = 0; // Requests that this node may still send during its warm-up.
    MonotonicTime m_coldRefilledAt {};
    // Nobody listened at its address since its last connection, so the next one may reach a new run of it, of
    // which its entry doesn't tell yet.
    bool m_mayHaveRestarted = false;
    // Until then nobody can tell which software a new connection reaches, if the upstream states no run.
    MonotonicTime m_inDoubtUntil {};
    bool m_statesNoRun = false; // It was asked which run of it answers, and knows no such question.
    // Stands for the software of the run that answers at its address, if that isn't the one that its entry
    // tells of.
    std::optional<SoftwareId> m_unlistedSoftware;
    std::size_t m_inFlight = 0; // Requests of this node.
    double m_tokensInFlight = 0; // Their tokens.
    std::size_t m_peersInFlight = 0; // Requests of the other nodes, by their latest summaries.
    double m_peersTokensInFlight = 0;
    LimitState m_requestLimit;
    RoomUse m_room;
    MonotonicTime m_fullUntil {}; // It refused requests because of its load.
    MonotonicTime m_pausedUntil {}; // It asked this node for no requests until then.
    UpstreamHealth m_health;
    UpstreamReachability m_reachability;
    bool m_pathBlocked = false; // This node failed to connect to it while another node did.
    MonotonicTime m_nextPathTryAt {}; // While blocked: of the next direct connection.
    MonotonicTime m_noTunnelUntil {}; // No peer reached it either, so none is asked until then.
    bool m_removed = false; // Has no entry; unless that returns, only running requests refer to it.
    MonotonicTime m_removedAt {};
};

using UpstreamPointer = std::shared_ptr<Upstream>;

// Software of which an upstream has gone.
struct FormerSoftware {
    PoolName m_pool;
    MonotonicTime m_goneAt {}; // The last of them.
};

// What the upstreams of a pool say while they are brittle.
struct Brittleness {
    double m_refusalsPerSecond = 0; // One that refuses more requests for want of room falls over.
    MonotonicTime m_saidAt {};
};

// All upstreams, by name.
struct UpstreamTable {
    std::map<UpstreamName, UpstreamPointer> m_upstreams;
    std::unordered_map<std::uint32_t, UpstreamPointer> m_byShortId; // The same ones, by id in peer messages.
    // Removed lately. The entry of one that lost touch with the store returns; what it said of itself still
    // holds then.
    std::map<UpstreamName, UpstreamPointer> m_removedLately;
    std::map<SoftwareId, FormerSoftware> m_formerSoftware; // Also of upstreams replaced under their name.
    std::map<DataCentreName, bool> m_evacuated; // Data centres that get no new requests.
    std::map<PoolName, Brittleness> m_brittle; // Pools whose upstreams are.
    std::uint64_t m_softwareChanges = 0; // Grows whenever the software of the upstreams changes.
    AdapterVersions m_versions;
    bool m_known = false; // The store's list of upstreams has been read.
};

} // namespace marigoldladder::relay
