// How the allocator keeps memory that was freed.
#pragma once

namespace marigoldladder {

// Has large blocks go back to the system when they are freed. The allocator would keep them, and a process is
// bounded by what it has, not by what it uses. To be called once, at the start of a program.
auto returnLargeBlocks() -> void;

} // namespace marigoldladder
