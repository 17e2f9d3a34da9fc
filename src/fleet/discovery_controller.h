// Learns from the platform's list of VMs which upstreams there are.
#pragma once

#include "core/blackboard.h"
#include "platform/platform_client.h"

namespace marigoldladder {

// Replaces the upstream table by what the platform lists. Entries that can't be read are left out.
auto refreshUpstreams(Blackboard&, PlatformClient&) -> Result<void>;

} // namespace marigoldladder
