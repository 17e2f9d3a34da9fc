#include "core/large_blocks.h"

#include <malloc.h>

namespace marigoldladder {

auto returnLargeBlocks() -> void
{
    constexpr auto largeBytes = 64 << 10;
    (void)mallopt(M_MMAP_THRESHOLD, largeBytes);
    (void)mallopt(M_TRIM_THRESHOLD, largeBytes);
}

} // namespace marigoldladder
