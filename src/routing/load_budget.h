// How many adapters this node may load, so that all nodes together keep within the weight store's limits.
//
// The limits are dealt out to the owners of engines, by how many each owns. Every owner gets at least one
// load in flight, so at most as many nodes as there are loads own engines (see ownership).
#pragma once

#include "core/blackboard.h"

#include <cstddef>
#include <map>
#include <vector>

namespace marigoldladder {

// Engines owned by each node that owns any.
using EngineCounts = std::map<VmName, std::size_t>;

// Returns the node's share; over all owners the shares sum to the limits.
auto loadShareOf(const WeightStoreLimits&, const EngineCounts&, const VmName&) -> LoadShare;

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

} // namespace marigoldladder
