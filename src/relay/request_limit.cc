#include "relay/request_limit.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace marigoldladder::relay {

namespace {

    constexpr auto additionalSenders = std::size_t { 3 }; // So that a low limit doesn't depend on one node.
    constexpr auto senderInterval = std::chrono::milliseconds(4'000); // Of further senders without news.
    // Share of a limit; smaller changes take effect with the next update of shares.
    constexpr auto notableChange = 0.1;
    // Requests a second of all senders, however low the limit is: only answers show that it ended.
    constexpr auto minRate = 0.25;

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

auto isLimited(const LimitState& state) -> bool
{
    return state.m_limit.m_requestsPerSecond.has_value();
}

auto senderCount(double requestsPerSecond, std::size_t nodes, std::chrono::milliseconds age) -> std::size_t
{
    const auto wanted = std::floor(std::clamp(requestsPerSecond, 0.0, static_cast<double>(nodes)));
    const auto silence = std::max(age - limitNewsTimeout, std::chrono::milliseconds(0));
    const auto further = static_cast<std::size_t>(silence / senderInterval);
    return std::min(nodes, static_cast<std::size_t>(wanted) + additionalSenders + further);
}

auto shareOf(const FleetView& fleet, const VmName& self, const UpstreamName& upstream,
    const NamedLimit& limit, MonotonicTime now) -> LimitShare
{
    if (!limit.m_requestsPerSecond)
        return {};
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
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - limit.m_namedAt);
    const auto senders = senderCount(*limit.m_requestsPerSecond, nodes, age);
    if (earlier >= senders)
        return {};
    return { std::max(*limit.m_requestsPerSecond, minRate) / static_cast<double>(senders), true };
}

auto nextRequestAt(const LimitState& state, MonotonicTime now) -> MonotonicTime
{
    if (!state.m_share.m_isSender)
        return MonotonicTime::max();
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
