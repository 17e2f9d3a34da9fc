// Rendezvous hashing: every node ranks the nodes for a task by their names alone and gets the same order.
#pragma once

#include "marigoldladder/ids.h"

#include <cstdint>
#include <xxhash.h>

namespace marigoldladder::relay {

// Returns the node's rank for the task that the seed identifies.
inline auto rendezvousRank(const VmName& vm, std::uint64_t seed) -> std::uint64_t
{
    return XXH3_64bits_withSeed(vm.value().data(), vm.value().size(), seed);
}

} // namespace marigoldladder::relay
