// Publishes this node's own record on the platform and finds the other nodes there.
//
// The platform is only asked when a node starts, or as long as it has heard of no peer: all further news
// of members comes by gossip. A record says where a node may be found, not that it runs.
#pragma once

#include "core/blackboard.h"
#include "objects/backoff.h"
#include "objects/platform_client.h"

#include <random>

namespace marigoldladder {

// Writes this node's record to the platform, so that nodes that start later can find it.
auto publishMember(PlatformClient&, const Member&) -> Result<void>;

// Removes this node's record when it leaves, unless a newer process of its name has replaced it.
auto withdrawMember(PlatformClient&, const Member&) -> Result<void>;

// Reads all nodes' records and merges them into the membership.
auto refreshMembership(Blackboard&, PlatformClient&, const VmName& self) -> Result<void>;

// What the controller keeps between its steps.
struct MembershipState {
    bool m_published = false;
    bool m_listed = false;
    Backoff m_backoff;
    MonotonicTime m_notBefore {};
    std::mt19937_64 m_random { std::random_device()() };
};

// Publishes this node's record and then reads the others', each until it succeeds once. The reading is
// repeated now and then while no peer was heard of.
auto followMembers(Blackboard&, PlatformClient&, const VmName& self, MembershipState&) -> void;

} // namespace marigoldladder
