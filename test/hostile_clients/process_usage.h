// What a running process uses of its machine.
#pragma once

#include <cstddef>
#include <sys/types.h>

namespace marigoldladder::hostile {

// The most memory that was resident at any moment so far, in bytes; 0 if the process has ended.
auto peakResidentBytes(pid_t) -> std::size_t;

// Open descriptors.
auto openDescriptors(pid_t) -> std::size_t;

// Waits until the process has worked off what it was sent: until it uses no processor time for a while.
auto awaitRest(pid_t) -> void;

} // namespace marigoldladder::hostile
