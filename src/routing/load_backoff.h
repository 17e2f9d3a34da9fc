// When an adapter that failed to load on an upstream may be tried there again.
#pragma once

#include "core/blackboard.h"

#include <chrono>
#include <cstdint>

namespace marigoldladder {

struct LoadBackoff {
    std::uint32_t m_failures = 0; // In a row.
    MonotonicTime m_notBefore {};
};

// Returns the state after one more failed load: the wait doubles up to a bound, and `draw`, within 0 to 1,
// spreads it over its upper half, so that nodes do not try again together.
auto afterFailedLoad(const LoadBackoff&, double draw, MonotonicTime now) -> LoadBackoff;

} // namespace marigoldladder
