// Decides which fraction of every organisation's allowance this node may spend by itself.
#pragma once

#include "core/blackboard.h"

namespace marigoldladder {

// Gives this node an equal part among all nodes known.
auto refreshShares(Blackboard&) -> void;

} // namespace marigoldladder
