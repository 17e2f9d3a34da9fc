#include "relay/request_limit.h"

#include "relay/rendezvous_hash.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace marigoldladder::relay {

namespace {

    // Share of a limit; smaller changes need not be reported at once.
    constexpr auto notableChange = 0.1;
    // Requests a second, however low the limit is: only answers show that it ended.
    constexpr auto minRate = 0.25;
    constexpr auto minShardRate = 0.75; // Requests a second; each shard may permit one request at once.
    constexpr auto notOwnedRetryAfter = std::chrono::milliseconds(200); // Until nodes agree on the owner.
    constexpr auto maxReservedTime = std::chrono::milliseconds(2'000);

    auto refill(LimitShard& shard, double requestsPerSecond, MonotonicTime now) -> void
    {
        const auto seconds = std::chrono::duration<double>(now - shard.m_refilledAt).count();
        shard.m_permits = std::min(1.0, shard.m_permits + requestsPerSecond * std::max(seconds, 0.0));
        shard.m_refilledAt = now;
    }

    auto toDuration(double seconds) -> MonotonicTime::duration
    {
        return std::chrono::duration_cast<MonotonicTime::duration>(std::chrono::duration<double>(seconds));
    }

} // namespace

auto recordLimit(LimitState& state, const NamedLimit& limit) -> bool
{
    const auto before = state.m_limit.m_requestsPerSecond;
    const auto isNews = before || limit.m_requestsPerSecond;
    if (!isNews || limit.m_namedAt <= state.m_limit.m_namedAt)
        return false;
    state.m_limit = limit;
    if (before.has_value() != limit.m_requestsPerSecond.has_value())
        return true;
    return std::abs(*before - *limit.m_requestsPerSecond) > notableChange * *before;
}

auto isLimited(const LimitState& state) -> bool
{
    return state.m_limit.m_requestsPerSecond.has_value();
}

auto limitShardCount(double requestsPerSecond) -> std::size_t
{
    const auto shards = std::floor(std::max(requestsPerSecond, 0.0) / minShardRate);
    return static_cast<std::size_t>(std::clamp(shards, 1.0, static_cast<double>(maxLimitShards)));
}

auto limitShardOwner(const std::vector<VmName>& candidates, const UpstreamName& upstream, std::size_t shard)
    -> std::optional<VmName>
{
    if (candidates.empty())
        return std::nullopt;
    const auto seed = XXH3_64bits(upstream.value().data(), upstream.value().size());
    auto order = candidates;
    const auto owner = order.begin() + static_cast<std::ptrdiff_t>(std::min(shard, order.size() - 1));
    std::nth_element(order.begin(), owner, order.end(), [&](const VmName& left, const VmName& right) {
        return rendezvousRank(left, seed) < rendezvousRank(right, seed);
    });
    return *owner;
}

auto setShardOwned(LimitShard& shard, bool isOwned, MonotonicTime now) -> void
{
    if (shard.m_isOwned == isOwned)
        return;
    shard = LimitShard();
    shard.m_isOwned = isOwned;
    shard.m_refilledAt = now;
}

auto grantPermit(LimitState& state, std::size_t shard, double fleetShare, MonotonicTime now) -> LimitPermit
{
    // Another node may still believe in a limit that has ended.
    if (!isLimited(state))
        return { true, {} };
    const auto limit = std::max(*state.m_limit.m_requestsPerSecond, minRate);
    const auto shards = limitShardCount(limit);
    if (shard >= shards || !state.m_shards.at(shard).m_isOwned)
        return { false, notOwnedRetryAfter };
    auto& owned = state.m_shards.at(shard);
    const auto rate = limit * fleetShare / static_cast<double>(shards);
    refill(owned, rate, now);
    if (owned.m_permits >= 1) {
        owned.m_permits -= 1;
        return { true, {} };
    }
    const auto dueAt = now + toDuration((1 - owned.m_permits) / rate);
    const auto retryAt = std::max(dueAt, owned.m_reservedUntil);
    owned.m_reservedUntil = std::min<MonotonicTime>(retryAt + toDuration(1 / rate), now + maxReservedTime);
    return { false, std::chrono::ceil<std::chrono::milliseconds>(retryAt - now) };
}

} // namespace marigoldladder::relay
