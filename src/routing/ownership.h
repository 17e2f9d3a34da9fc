// Decides which node owns which upstream, from records and leases as read from the platform.
//
// A record names an upstream's owner and a fencing number that grows with each change of owner. A node
// holds one lease for all it owns. A lapsed lease lets another node take over and use what the engine has
// loaded; evictions wait until the earlier owner is proved to have stopped, because fencing holds off its
// late orders at most, never its running requests.
#pragma once

#include "core/blackboard.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace marigoldladder {

// One start of a node's process.
struct NodeStart {
    VmName m_vm;
    Incarnation m_incarnation = 0;

    auto operator<=>(const NodeStart&) const = default;
};

// An upstream's owner as agreed on the platform.
struct OwnershipRecord {
    NodeStart m_owner;
    FencingNumber m_fencing = 0;
    std::vector<NodeStart> m_earlierOwners; // Those not known to have stopped when they lost it.
};

using OwnershipRecords = std::map<UpstreamName, OwnershipRecord>;

// A node's lease as read from the platform.
struct LeaseRecord {
    NodeStart m_holder;
    std::chrono::milliseconds m_duration {};
    std::uint64_t m_version = 0; // Changes with each renewal.
    bool m_ended = false; // The process is known to use no upstream any more.
};

// A lease with the time, on this node's clock, since which it was seen unchanged.
struct ObservedLease {
    LeaseRecord m_record;
    MonotonicTime m_unchangedSince {};
};

struct ObservedLeases {
    std::map<VmName, ObservedLease> m_leases;
    MonotonicTime m_readAt {}; // When the last successful read began.
};

// How much earlier a holder stops than others take over, for clocks that run at different speeds.
inline constexpr auto leaseMargin = std::chrono::milliseconds(1000);

// How often a node renews its lease: seldom enough that a fleet of `nodes` keeps within its part of the
// platform's writes.
auto leaseRenewalPeriod(std::size_t nodes) -> std::chrono::milliseconds;

// How long a lease lasts from the moment its renewal was begun.
auto leaseDuration(std::size_t nodes) -> std::chrono::milliseconds;

// Takes in a successful read that began at `readAt` and ended at `seenAt`.
auto observeLeases(const ObservedLeases&, const std::vector<LeaseRecord>&, MonotonicTime readAt,
    MonotonicTime seenAt) -> ObservedLeases;

// Whether a read proves that the node renewed nothing for its lease's duration and the margin, or that it
// ended its lease. An outage of the platform proves nothing.
auto hasLapsed(const ObservedLeases&, const VmName&) -> bool;

// Whether the process may still use upstreams or give them orders. It may not once its lease
// was ended, its VM runs a later process, or it or its VM is gone. That an earlier process of its VM is gone
// says nothing about it.
auto mayStillRun(const ObservedLeases&, const Membership&, const NodeStart&) -> bool;

// What one node knows when it decides about ownership.
struct OwnershipView {
    NodeStart m_self;
    ObservedLeases m_leases;
    Membership m_membership;
    std::size_t m_maxEngineOwners = 0; // Nodes that may load adapters (see load budget).
};

// Returns the node that should own the upstream: the first in rank among the live ones with a lease, those
// of the upstream's data centre before others. Empty when there is none.
auto desiredOwner(const OwnershipView&, const Upstream&) -> NodeStart;

enum class OwnershipStep {
    Leave, // Nothing to do.
    Take, // This node becomes the owner.
    HandOver, // This node passes it on, once it is not used any more.
    Acknowledge, // This node lost it, and says so once it does not use it any more.
};

auto decideOwnership(const OwnershipView&, const Upstream&, const std::optional<OwnershipRecord>&)
    -> OwnershipStep;

// Returns the record after this node took over, with a higher fencing number.
auto takenRecord(const OwnershipView&, const std::optional<OwnershipRecord>&) -> OwnershipRecord;

// Returns the record after this node, which uses the upstream no more, passed it on.
auto handedRecord(const OwnershipRecord&, const NodeStart& next) -> OwnershipRecord;

// Returns the record without the node among the earlier owners.
auto acknowledgedRecord(const OwnershipRecord&, const NodeStart&) -> OwnershipRecord;

// What bounds this node's own rights, besides the records.
struct OwnerRights {
    MonotonicTime m_ordersUntil {}; // End of this node's lease, less the margin.
    std::map<UpstreamName, MonotonicTime> m_noEvictionsBefore; // Others' requests may still run until then.
    std::map<UpstreamName, FencingNumber> m_cleared; // The record for which `isClear` was once true.
};

// Whether leases read after the record was written prove that no earlier owner can give orders on the
// strength of its lease. From then on an earlier owner reads the record before it gives any.
auto isClear(const OwnershipView&, const OwnershipRecord&) -> bool;

// Returns the assignment in force as this node sees it. `outage` says that the platform can't be read: an
// upstream whose owner was lost is then served by the next node in rank, which evicts nothing.
auto assignmentOf(const OwnershipView&, const Upstream&, const OwnershipRecord&, const OwnerRights&,
    bool outage, MonotonicTime now) -> Assignment;

// Whether an eviction may be ordered right now under this assignment.
auto mayOrderEviction(const Assignment&, MonotonicTime now) -> bool;

} // namespace marigoldladder
