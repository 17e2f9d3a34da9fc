// Decides which node owns which upstream.
#pragma once

#include "core/blackboard.h"

namespace marigoldladder {

// Assigns each upstream to a live node by rendezvous hashing.
auto refreshAssignments(Blackboard&) -> void;

} // namespace marigoldladder
