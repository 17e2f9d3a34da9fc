// Decides which node sends orders to engines: one at a time, with a fencing number that only grows.
//
// After the store has returned from an older copy, the lease object may be an earlier one or missing. The
// holder reads it in the new era before it renews, and writes its own again; no node takes a fence below one
// that it knows of.
//
// The holder renews a lease object in the store. It may send orders while its last renewal is recent or,
// while the store is unreachable, as long as every other node confirms that it has just received from the
// holder. Another node takes over once the object has not changed and no node has received from the holder
// for so long that the holder's last order is at least a whole lease time old.
#pragma once

#include "core/blackboard.h"
#include "relay/fleet_view.h"

#include <cstdint>
#include <optional>

namespace marigoldladder::relay {

// The lease as it stands in the store.
struct LeaseRecord {
    VmName m_vm;
    std::uint64_t m_fence = 0;
    std::uint64_t m_renewals = 0;
    std::uint64_t m_revision = 0; // Of the object in the store.
    std::uint64_t m_era = 0; // Of the store at that revision.

    auto operator==(const LeaseRecord&) const -> bool = default;
};

struct LeaseState {
    std::optional<LeaseRecord> m_lastRecord; // As last read or written; empty before the first read.
    BootClockTime m_unchangedSince {}; // When `m_lastRecord` was first read or written.
    bool m_holding = false; // This node holds the lease, as far as it knows.
    BootClockTime m_renewedAt {}; // When the last successful renewal was sent.
    // When this node may send its first order: a lease time after the last possible one of the holder before.
    BootClockTime m_ordersFrom {};
    std::uint64_t m_heldEra = 0; // Of the store when the lease was last written by this node.
    std::uint64_t m_highestFence = 0; // Of all records, those of earlier eras included.
};

enum class LeaseStep {
    Nothing,
    Read, // Read the object in the store.
    Create, // The object does not exist, or no longer does.
    Renew,
    TakeOver,
};

// The input of the decision, apart from the lease itself.
struct LeaseContext {
    VmName m_self;
    Milliseconds m_leaseTime { 3'000 };
    BootClockTime m_now {};
    // When any node last received from the holder, as far as this node knows.
    BootClockTime m_holderLastSeenAt {};
    bool m_eligible = false; // This node is ready, not leaving, and reaches upstreams by itself.
    std::size_t m_rank = 0; // Number of ready nodes that precede this one as candidates.
    BootClockTime m_startedAt {}; // When this node started its lease loop.
    bool m_largeFleet = false; // Limits how many nodes read the object at a time.
    std::uint64_t m_storeEra = 0; // The highest known.
    std::uint64_t m_highestFence = 0; // Of any holder that this node knows of.
};

// Returns the step that this node has to take now.
auto nextLeaseStep(const LeaseState&, const LeaseContext&) -> LeaseStep;

// Returns when a node that has just acquired the lease may send its first order. The holder before may have
// been heard of again after the decision to take over.
auto firstOrderAt(const LeaseContext&) -> BootClockTime;

// Returns the fence of a node that creates the lease or takes it over.
auto nextFence(const LeaseState&, const LeaseContext&) -> std::uint64_t;

// What a lease object, as read, means for the node that holds the lease.
enum class HeldLease {
    Kept, // It is this node's.
    Outdated, // It is of before this node's term, from an older copy of the store, or missing; the node
              // writes its own again.
    Lost, // Another node has taken over, or an earlier process of this one.
};

auto judgeHeldLease(const LeaseRecord& held, const LeaseRecord& found) -> HeldLease;

// Records the object as read from the store or written to it.
auto applyLeaseRecord(LeaseState&, const LeaseRecord&, BootClockTime now) -> void;

// Whether this node may send orders now. `confirmedByAll`: every other node has reported that it has just
// received from this one.
auto mayOrder(const LeaseState&, bool confirmedByAll, BootClockTime now) -> bool;

} // namespace marigoldladder::relay
