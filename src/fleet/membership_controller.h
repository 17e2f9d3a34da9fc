// Publishes this node's own record and learns of the other nodes.
#pragma once

#include "core/blackboard.h"
#include "platform/platform_client.h"

namespace marigoldladder {

// Writes this node's record to the platform, so that nodes that start later can find it.
auto publishMember(PlatformClient&, const Member&) -> Result<void>;

// Reads all nodes' records and the platform's list of VMs, and merges them into the membership.
auto refreshMembership(Blackboard&, PlatformClient&, const VmName& self) -> Result<void>;

} // namespace marigoldladder
