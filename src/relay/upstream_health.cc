#include "relay/upstream_health.h"

#include <algorithm>
#include <cmath>

namespace marigoldladder::relay {

namespace {

    constexpr auto decayTime = std::chrono::duration<double>(3.0); // Results decay to 1/e in it.
    constexpr auto minAvoidTime = Milliseconds(400);
    constexpr auto maxAvoidTime = Milliseconds(4'000); // A few times the replacement time of a crashed one.
    constexpr auto brokenWeight = 1.0;
    constexpr auto failedWeight = 0.6;
    constexpr auto avoidFailureThreshold = 1.8; // Weighted count; both this many failures and
    constexpr auto avoidFailureShare = 0.4; // this share of the recent results are needed.
    constexpr auto successesUntilReset = 3.0;
    constexpr auto minRefusedPeers = 2;

    auto decay(UpstreamHealth& health, MonotonicTime now) -> void
    {
        if (health.m_updatedAt != MonotonicTime()) {
            const auto age = std::chrono::duration<double>(now - health.m_updatedAt);
            const auto factor = std::exp(-age / decayTime);
            health.m_failures *= factor;
            health.m_successes *= factor;
        }
        health.m_updatedAt = now;
    }

    auto avoid(UpstreamHealth& health, MonotonicTime now) -> void
    {
        if (health.m_avoidUntil > now)
            return;
        health.m_avoidTime = std::clamp(health.m_avoidTime * 2, minAvoidTime, maxAvoidTime);
        health.m_avoidUntil = now + health.m_avoidTime;
    }

} // namespace

auto recordCallEnd(UpstreamHealth& health, CallEnd end, MonotonicTime now) -> void
{
    decay(health, now);
    switch (end) {
    case CallEnd::Answered:
        health.m_successes += 1;
        if (health.m_successes >= successesUntilReset && health.m_avoidUntil <= now)
            health.m_avoidTime = Milliseconds(0);
        return;
    case CallEnd::Failed:
        health.m_failures += failedWeight;
        break;
    case CallEnd::Broken:
        health.m_failures += brokenWeight;
        break;
    case CallEnd::TimedOut:
        health.m_failures += avoidFailureThreshold;
        break;
    case CallEnd::NotReached:
        health.m_failures += avoidFailureThreshold;
        avoid(health, now);
        return;
    }
    const auto share = health.m_failures / (health.m_failures + health.m_successes);
    if (health.m_failures >= avoidFailureThreshold && share >= avoidFailureShare)
        avoid(health, now);
}

auto isUnreachable(const UpstreamReachability& reachability, MonotonicTime now) -> bool
{
    if (reachability.m_refusedAt != MonotonicTime() && reachability.m_refusedAt + unreachableTime > now)
        return true;
    const auto& peers = reachability.m_refusedPeers;
    const auto refused = std::count_if(
        peers.begin(), peers.end(), [&](const auto& entry) { return entry.second + unreachableTime > now; });
    return refused >= minRefusedPeers;
}

auto reachableAgainAt(const UpstreamReachability& reachability) -> MonotonicTime
{
    auto last = reachability.m_refusedAt;
    for (const auto& [vm, reportedAt] : reachability.m_refusedPeers)
        last = std::max(last, reportedAt);
    return last + unreachableTime;
}

} // namespace marigoldladder::relay
