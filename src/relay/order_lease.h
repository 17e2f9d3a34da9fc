// Decides which node gives orders to engines: one at a time, with a number that only grows.
//
// The holder renews an object in the store. It may order while its last renewal is fresh, or, while the
// store is away, as long as every other node has heard it just now. Another node takes over when the object
// hasn't changed and nobody has heard the holder for so long that the holder's last order lies a whole
// lease in the past.
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
    std::uint64_t m_revision = 0; // Of the object.

    auto operator==(const LeaseRecord&) const -> bool = default;
};

struct LeaseState {
    std::optional<LeaseRecord> m_lastRecord; // As last read or written.
    UninterruptedTime m_unchangedSince {}; // When it was first seen like this.
    bool m_holding = false; // This node holds it, as far as it knows.
    UninterruptedTime m_renewedAt {}; // When the last successful renewal was sent.
};

enum class LeaseStep {
    Nothing,
    Read, // Look at the object in the store.
    Create, // There is none.
    Renew,
    TakeOver,
};

// What the decision depends on beside the lease.
struct LeaseContext {
    VmName m_self;
    Milliseconds m_leaseTime { 3'000 };
    UninterruptedTime m_now {};
    UninterruptedTime m_holderLastSeenAt {}; // By any node, as far as it is known here.
    bool m_eligible = false; // This node is ready and not leaving.
    std::size_t m_rank = 0; // Nodes that are ready and should rather hold it than this one.
    UninterruptedTime m_startedAt {}; // When this node began to look.
    bool m_largeFleet = false; // Few nodes look at the object at a time.
};

auto nextLeaseStep(const LeaseState&, const LeaseContext&) -> LeaseStep;

// Enters the object as read from the store.
auto applyLeaseRecord(LeaseState&, const LeaseRecord&, UninterruptedTime now) -> void;

// Whether orders may be given now. `heardByAll`: every other node has told that it heard this one just now.
auto mayOrder(const LeaseState&, bool heardByAll, UninterruptedTime now) -> bool;

} // namespace marigoldladder::relay
