// How many adapters this node may load, so that all nodes together keep within the weight store's limits.
//
// Each live VM gets an equal share of the rate. The loads in flight are dealt out whole: with more VMs than
// loads, the last VMs in name order get none, and own no engines (see ownership).
#pragma once

#include "core/blackboard.h"

#include <cstddef>
#include <vector>

namespace marigoldladder {

// Returns the share of the VM at position `rank` among `nodes` live ones.
auto loadShareOf(const WeightStoreLimits&, std::size_t nodes, std::size_t rank) -> LoadShare;

// A node's share over time. It shrinks at once and grows only after a while without shrinking, because
// the nodes do not learn of a change at the same moment.
struct LoadShareState {
    LoadShare m_inForce;
    LoadShare m_wanted;
    MonotonicTime m_wantedSince {};
};

auto followLoadShare(const LoadShareState&, const LoadShare& wanted, MonotonicTime now) -> LoadShareState;

// Loads begun and running at this node.
struct LoadBudget {
    double m_tokens = 0;
    MonotonicTime m_filledAt {};
    std::size_t m_inFlight = 0;
    std::vector<MonotonicTime> m_lingering; // Until when loads without an answer count as running.
};

// Takes what one load needs; false when the share allows none now.
auto tryBeginLoad(LoadBudget&, const LoadShare&, MonotonicTime now) -> bool;
auto endLoad(LoadBudget&) -> void;

// Ends a load that got no answer; it goes on counting for a while, as it may still run.
auto endLoadInDoubt(LoadBudget&, MonotonicTime now) -> void;

// Writes this node's share to the blackboard.
auto refreshLoadShare(Blackboard&, const WeightStoreLimits&, const VmName& self, LoadShareState&) -> void;

} // namespace marigoldladder
