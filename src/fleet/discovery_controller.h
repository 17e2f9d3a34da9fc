// Learns from the platform's list of VMs which upstreams there are and which nodes' VMs are gone.
//
// Every node reads the list once when it starts. After that a few nodes, the readers, keep a watch open, and
// the others get the changes from their peers, so that the calls to the platform do not grow with the fleet.
// Others look for themselves now and then, in case no reader reaches the platform.
#pragma once

#include "core/blackboard.h"
#include "objects/backoff.h"
#include "objects/platform_client.h"

#include <optional>
#include <random>
#include <set>

namespace marigoldladder {

// How many nodes keep a watch open.
inline constexpr auto platformReaders = std::size_t { 4 };

// How long one watch lasts. One that went silent on the way is replaced after that.
inline constexpr auto watchDuration = std::chrono::milliseconds(1500);

// Whether this node is one of the readers: the live nodes with the highest hashes of their names.
auto isPlatformReader(const Membership&, const VmName& self) -> bool;

// What the controller keeps between its steps.
struct DiscoveryState {
    std::optional<ObjectVersion> m_readUntil; // Nothing until the list was read once.
    std::set<VmName> m_nodeVms; // Listed VMs that are no upstreams.
    Backoff m_backoff;
    MonotonicTime m_notBefore {};
    std::mt19937_64 m_random { std::random_device()() };
};

// Puts a whole list in place of the table. Entries that can't be read count as not listed.
auto applyVmList(UpstreamTable&, const ObjectList&) -> void;

// Puts one change of the list into the table.
auto applyVmEvent(UpstreamTable&, const WatchEvent&) -> void;

// Reads the list, or watches it for a while, when it is this node's turn; returns at once otherwise.
auto followVms(Blackboard&, PlatformClient&, const VmName& self, DiscoveryState&) -> void;

} // namespace marigoldladder
