#include "relay/request_limit.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace marigoldladder::relay {

namespace {

    constexpr auto additionalSenders = std::size_t { 3 }; // So that a low limit doesn't depend on one node.
    constexpr auto notableChange
        = 0.1; // Of a limit; smaller ones take effect with the next update of shares.
    constexpr auto minShare = 0.01; // Requests a second; keeps waits representable.

    auto refilled(const LimitState& state, MonotonicTime now) -> double
    {
        if (state.m_refilledAt == MonotonicTime())
            return 0;
        const auto seconds = std::chrono::duration<double>(now - state.m_refilledAt).count();
        return std::min(1.0, state.m_requests + state.m_share.m_requestsPerSecond * seconds);
    }

} // namespace

auto recordLimit(LimitState& state, const NamedLimit& limit) -> bool
{
    const auto before = state.m_limit.m_requestsPerSecond;
    const auto isNews = before || limit.m_requestsPerSecond;
    if (!isNews || limit.m_namedAt <= state.m_limit.m_namedAt)
        return false;
    state.m_limit = limit;
    // Requests sent before count in the same window, so a new limit begins with none to send.
    if (!before && limit.m_requestsPerSecond) {
        state.m_requests = 0;
        state.m_refilledAt = limit.m_namedAt;
    }
    if (before.has_value() != limit.m_requestsPerSecond.has_value())
        return true;
    return std::abs(*before - *limit.m_requestsPerSecond) > notableChange * *before;
}

auto limitInForce(const LimitState& state, MonotonicTime now) -> std::optional<double>
{
    const auto& limit = state.m_limit;
    if (!limit.m_requestsPerSecond || limit.m_namedAt + limitLifetime <= now)
        return std::nullopt;
    return limit.m_requestsPerSecond;
}

auto senderCount(double requestsPerSecond, std::size_t nodes) -> std::size_t
{
    const auto wanted = std::floor(std::clamp(requestsPerSecond, 0.0, static_cast<double>(nodes)));
    return std::min(nodes, static_cast<std::size_t>(wanted) + additionalSenders);
}

auto shareOf(const FleetView& fleet, const VmName& self, const UpstreamName& upstream,
    double requestsPerSecond, MonotonicTime now) -> LimitShare
{
    const auto seed = XXH3_64bits(upstream.value().data(), upstream.value().size());
    const auto rankOf
        = [&](const VmName& vm) { return XXH3_64bits_withSeed(vm.value().data(), vm.value().size(), seed); };
    const auto own = rankOf(self);
    auto nodes = std::size_t { 1 };
    auto earlier = std::size_t { 0 };
    for (const auto& [vm, peer] : fleet.m_peers) {
        if (!isAlive(peer, now))
            continue;
        ++nodes;
        earlier += rankOf(vm) < own ? 1 : 0;
    }
    const auto senders = senderCount(requestsPerSecond, nodes);
    if (earlier >= senders)
        return {};
    return { std::max(requestsPerSecond / static_cast<double>(senders), minShare), true };
}

auto nextRequestAt(const LimitState& state, MonotonicTime now) -> MonotonicTime
{
    if (!state.m_share.m_isSender)
        return state.m_limit.m_namedAt + limitLifetime;
    const auto missing = 1.0 - refilled(state, now);
    if (missing <= 0)
        return now;
    const auto wait = std::chrono::duration<double>(missing / state.m_share.m_requestsPerSecond);
    return now + std::chrono::duration_cast<MonotonicTime::duration>(wait);
}

auto chargeRequest(LimitState& state, MonotonicTime now) -> void
{
    state.m_requests = refilled(state, now) - 1.0;
    state.m_refilledAt = now;
}

} // namespace marigoldladder::relay
