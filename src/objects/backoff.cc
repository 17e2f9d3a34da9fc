#include "objects/backoff.h"

#include <algorithm>

namespace marigoldladder {

namespace {

    constexpr auto mostDoublings = 16U;

} // namespace

auto waitAfterFailure(Backoff& backoff, std::mt19937_64& random) -> std::chrono::milliseconds
{
    const auto doublings = std::min(backoff.m_failures, mostDoublings);
    ++backoff.m_failures;
    const auto ceiling = std::min(backoff.m_most, backoff.m_first * (1L << doublings));
    auto wait = std::uniform_int_distribution<long>((backoff.m_first / 2).count(), ceiling.count());
    return std::chrono::milliseconds(wait(random));
}

auto noteSuccess(Backoff& backoff) -> void
{
    backoff.m_failures = 0;
}

} // namespace marigoldladder
