// The other nodes as this node knows them, from their summaries and from the store.
#pragma once

#include "core/blackboard.h"
#include "marigoldladder/settings.h"
#include "relay/routing_configuration.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marigoldladder::relay {

// Time that goes on while the machine is suspended; the steady clock may not.
using BootClockTime = std::chrono::nanoseconds;

auto bootClockNow() -> BootClockTime;

// Names upstreams and organisations in messages between nodes.
auto shortId(std::string_view name) -> std::uint32_t;

// Requests of one node in flight at an upstream.
struct PeerLoad {
    std::size_t m_inFlight = 0;
    double m_tokens = 0;
};

// What a node, or a whole data centre, has in flight.
struct LoadReport {
    std::unordered_map<std::uint32_t, PeerLoad> m_loads; // By the upstream's short id.
    MonotonicTime m_receivedAt {};
    bool m_inSums = false; // It is part of the fleet's sums.
};

struct Peer {
    VmName m_vm;
    DataCentreName m_dataCentre;
    Incarnation m_incarnation = 0;
    std::uint64_t m_number = 0; // Of its latest summary.
    Address m_callerAddress;
    Address m_peerAddress;
    bool m_ready = false;
    double m_processorShare = 0; // Cores that it may use.
    bool m_storeReachable = false;
    std::vector<std::uint64_t> m_revisions; // Of the store's objects, by kind.
    bool m_leaving = false;
    std::uint64_t m_configurationVersion = 0;
    MonotonicTime m_lastReceivedAt {}; // Zero: only read of in the store.
    Milliseconds m_livenessTimeout { 1'500 }; // Silent for longer, it counts as lost; many summaries fit in.
    MonotonicTime m_knownSince {};
    LoadReport m_loads;
    BootClockTime m_holderAcknowledgedAt {}; // When it last heard this node hold the lease; zero: never.
};

// Who gives orders to engines, as far as is known here.
struct KnownHolder {
    VmName m_vm;
    std::uint64_t m_fence = 0;
    MonotonicTime m_lastReportedAt {}; // Directly or through others.
};

struct FleetView {
    DataCentreName m_localDataCentre; // This node's.
    std::map<VmName, Peer> m_peers; // Without this node.
    std::map<DataCentreName, LoadReport> m_remoteLoads; // Of other data centres, in a large fleet.
    KnownHolder m_holder;
    std::unordered_map<std::uint32_t, PeerLoad> m_loadSums; // Of all these loads, by short id.
    bool m_membersRead = false; // The store's list of nodes was read.
    MonotonicTime m_firstReceivedAt {}; // When any peer was first heard.
};

// Adds up the loads of the peers that are alive, and of far data centres that were heard of lately.
auto sumLoads(FleetView&, MonotonicTime now) -> void;

// Replaces what one peer or data centre has in flight, and brings the sums up to date. Costs no more than the
// report's own loads, as each message of each peer comes here.
auto replaceLoads(
    FleetView&, LoadReport&, std::unordered_map<std::uint32_t, PeerLoad> loads, MonotonicTime now) -> void;

// Returns the silence after which the peer counts as lost: many of its messages fit in, longer where relays
// tell of it.
auto livenessTimeoutOf(const FleetView&, const Peer&) -> Milliseconds;

// Whether the peer stands in this node's data centre.
auto isInLocalDataCentre(const FleetView&, const Peer&) -> bool;

// Returns how many of the other nodes stand in this node's data centre.
auto localPeerCount(const FleetView&) -> std::size_t;

// Whether the peer was heard of late enough to count as alive.
auto isAlive(const Peer&, MonotonicTime now) -> bool;

// Returns the number of nodes that share the fleet's bounds, this one included.
auto fleetSize(const FleetView&) -> std::size_t;

// Whether all nodes can afford to tell all others every time.
auto isSmallFleet(const FleetView&) -> bool;

// Forgets peers that were silent for so long that they are gone.
auto removeLostPeers(FleetView&, MonotonicTime now) -> void;

// Returns the time between two readings of the list of nodes: short while one is silent, as it may have
// started again at another address, in a large fleet while half are; otherwise so that the fleet makes few
// calls.
auto memberReadInterval(const FleetView&, MonotonicTime now) -> Milliseconds;

// A node that may watch the store for others.
struct StoreWatcher {
    VmName m_vm;
    DataCentreName m_dataCentre;
    bool m_storeReachable = false;
};

// Whether this node should watch the store: a few do, those whose calls are answered first, and rather one in
// each data centre than several in one.
auto shouldWatchStore(const FleetView&, const StoreWatcher& self, MonotonicTime now) -> bool;

// Whether any peer that is heard says that it reaches the store.
auto anyPeerReachesStore(const FleetView&, MonotonicTime now) -> bool;

// Returns the peer to ask for later objects of a kind than this node knows: a near one if any, so that few
// bytes go between data centres. A null pointer when none knows more.
auto peerWithNewerObjects(const FleetView&, std::size_t kind, std::uint64_t revision,
    const DataCentreName& here, MonotonicTime now) -> const Peer*;

// Returns callers' addresses of the nodes that are ready, this node first when `self` is given.
auto readyAddresses(const FleetView&, const std::optional<Address>& self, MonotonicTime now)
    -> std::vector<Address>;

} // namespace marigoldladder::relay
