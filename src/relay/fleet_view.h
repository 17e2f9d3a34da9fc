// The state of the other nodes, as received in their summaries and digests and read from the store.
#pragma once

#include "core/blackboard.h"
#include "marigoldladder/settings.h"
#include "relay/object_cache.h"
#include "relay/routing_configuration.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marigoldladder::relay {

// Time since the machine's boot. It includes the time that the machine was suspended, which the steady clock
// may leave out.
using BootClockTime = std::chrono::nanoseconds;

auto bootClockNow() -> BootClockTime;

// Returns the hash that identifies an upstream or organisation in messages between nodes.
auto shortId(std::string_view name) -> std::uint32_t;

// Requests in flight at an upstream, sent by one node or by all nodes of a data centre.
struct PeerLoad {
    std::size_t m_inFlight = 0;
    double m_tokens = 0; // Of these requests.
};

// The requests in flight of a node, or of all nodes of a data centre.
struct LoadReport {
    std::unordered_map<std::uint32_t, PeerLoad> m_loads; // By the upstream's short id.
    MonotonicTime m_receivedAt {};
    bool m_inSums = false; // Whether it is included in `FleetView::m_loadSums`.
};

struct Peer {
    VmName m_vm;
    DataCentreName m_dataCentre;
    Incarnation m_incarnation = 0;
    std::uint64_t m_number = 0; // The number of its latest summary.
    Address m_callerAddress;
    Address m_peerAddress;
    bool m_ready = false;
    double m_processorShare = 0; // In cores.
    bool m_storeReachable = false;
    std::vector<StoreRevision> m_revisions; // Of the store's objects that it has, indexed by kind.
    bool m_leaving = false;
    bool m_stranded = false; // It reaches no upstream by itself.
    std::uint64_t m_configurationVersion = 0;
    MonotonicTime m_lastReceivedAt {}; // Of its summaries. Zero: none, it is only listed in the store.
    Milliseconds m_livenessTimeout { 1'500 }; // Without a summary for longer, it does not count as alive.
    MonotonicTime m_knownSince {};
    LoadReport m_loads;
    // When this node sent the latest summary as lease holder that the peer acknowledged; zero: never.
    BootClockTime m_holderAcknowledgedAt {};
};

// The last known holder of the order lease, the node that sends load and evict orders to engines.
struct KnownHolder {
    VmName m_vm;
    std::uint64_t m_fence = 0;
    MonotonicTime m_lastReportedAt {}; // When the holder's latest summary reached this node or a peer.
};

struct FleetView {
    DataCentreName m_localDataCentre; // This node's.
    std::map<VmName, Peer> m_peers; // Without this node.
    std::map<DataCentreName, LoadReport> m_remoteLoads; // Of other data centres, in a large fleet.
    KnownHolder m_holder;
    std::unordered_map<std::uint32_t, PeerLoad> m_loadSums; // Of these loads, by the upstream's short id.
    bool m_membersRead = false; // Whether the store's list of nodes has been read.
    MonotonicTime m_firstReceivedAt {}; // When the first summary or digest of any peer arrived.
};

// Recomputes the sums from the loads of live peers and, in a large fleet, the recent loads of other data
// centres.
auto sumLoads(FleetView&, MonotonicTime now) -> void;

// Replaces the loads of one peer or data centre and updates the sums. Runs for every message of every peer,
// so its cost depends only on the size of the old and new report.
auto replaceLoads(
    FleetView&, LoadReport&, std::unordered_map<std::uint32_t, PeerLoad> loads, MonotonicTime now) -> void;

// Returns the time without a message after which the peer does not count as alive. Several messages are due
// in it; it is longer for a peer whose state arrives through the gateways of its data centre.
auto livenessTimeoutOf(const FleetView&, const Peer&) -> Milliseconds;

// Whether the peer is in this node's data centre.
auto isInLocalDataCentre(const FleetView&, const Peer&) -> bool;

// Returns the number of other nodes in this node's data centre.
auto localPeerCount(const FleetView&) -> std::size_t;

// Whether a message with the peer's state arrived within the peer's liveness timeout.
auto isAlive(const Peer&, MonotonicTime now) -> bool;

// Returns the number of known nodes, this one included. Limits of the whole fleet are divided by it.
auto fleetSize(const FleetView&) -> std::size_t;

// Whether the fleet has so few nodes that each sends every summary to all others.
auto isSmallFleet(const FleetView&) -> bool;

// Removes peers that have been unresponsive for so long that they are not expected back.
auto removeLostPeers(FleetView&, MonotonicTime now) -> void;

// Returns the time between two reads of the store's list of nodes. It is short while a peer is unresponsive
// (in a large fleet: more than half of them), as the peer may have restarted at another address. Otherwise it
// grows with the fleet, to bound the fleet's calls to the store.
auto memberReadInterval(const FleetView&, MonotonicTime now) -> Milliseconds;

// A node that can watch the store and propagate its changes to the other nodes.
struct StoreWatcher {
    VmName m_vm;
    DataCentreName m_dataCentre;
    bool m_storeReachable = false;
};

// Whether this node should watch the store. A few nodes do: those that reach the store are preferred, and one
// in each data centre is preferred to several in one.
auto shouldWatchStore(const FleetView&, const StoreWatcher& self, MonotonicTime now) -> bool;

// Whether any live peer reports that it reaches the store.
auto anyPeerReachesStore(const FleetView&, MonotonicTime now) -> bool;

// Returns a live peer that has a later revision of a kind of objects than this one, or a null pointer. Peers
// in the data centre `here` are preferred, to save traffic between data centres; of those that have the same,
// `draw` selects one.
auto peerWithNewerObjects(const FleetView&, ObjectKind, StoreRevision, const DataCentreName& here,
    std::uint64_t draw, MonotonicTime now) -> const Peer*;

// Returns a live peer that has a configuration of a higher version in force, or a null pointer. It may have
// received it before the store returned from an older copy.
auto peerWithNewerConfiguration(const FleetView&, std::uint64_t version, MonotonicTime now) -> const Peer*;

// Returns the addresses for callers of the nodes that are ready, with `self`, if given, as the first.
auto readyAddresses(const FleetView&, const std::optional<Address>& self, MonotonicTime now)
    -> std::vector<Address>;

} // namespace marigoldladder::relay
