#include "routing/load_backoff.h"

#include <algorithm>

namespace marigoldladder {

namespace {

    constexpr auto firstWait = std::chrono::milliseconds(500);
    constexpr auto maxWait = std::chrono::milliseconds(30'000);
    constexpr auto maxDoublings = std::uint32_t { 10 };
    constexpr auto leastShare = 0.5;

} // namespace

auto afterFailedLoad(const LoadBackoff& before, double draw, MonotonicTime now) -> LoadBackoff
{
    const auto doublings = std::min(before.m_failures, maxDoublings);
    const auto wait = std::min(maxWait, firstWait * (std::uint32_t { 1 } << doublings));
    const auto share = leastShare + (1 - leastShare) * draw;
    const auto jittered = std::chrono::duration_cast<std::chrono::milliseconds>(wait * share);
    return { before.m_failures + 1, now + jittered };
}

} // namespace marigoldladder
