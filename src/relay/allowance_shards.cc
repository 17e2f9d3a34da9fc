#include "relay/allowance_shards.h"

#include "relay/rendezvous_hash.h"

#include <algorithm>
#include <functional>
#include <limits>

namespace marigoldladder::relay {

namespace {

    constexpr auto maxShards = std::size_t { 3 };
    constexpr auto minShardBurstTokens = 8'000.0; // Enough for a few requests.

    // Spreads the shards, so that the loss of one node affects few of them.
    constexpr auto minCandidates = std::size_t { 2 * maxShards };

    // The tokens that all shards together start with after a takeover, as a share of the excess that the
    // bounds allow beyond rate and burst. Leaves room for two restarts of all nodes within a window.
    constexpr auto takeoverExcessShare = 0.3;

    constexpr auto noCharge = std::numeric_limits<ChargeId>::max(); // Matches no charge when refunded.

    // Limits how far ahead tokens are reserved for the retries of refused requests. Later retries would find
    // the tokens spent by other requests anyway.
    constexpr auto maxRetryQueue = std::chrono::milliseconds(5'000);

    // A longer gap between two updates means that this process was paused, and that other nodes may have
    // taken over its shards.
    constexpr auto maxUpdateGap = std::chrono::milliseconds(1'200);

    auto shardRate(const Organisation& organisation, double fleetShare) -> BucketRate
    {
        const auto share = fleetShare / static_cast<double>(shardCount(organisation));
        return { organisation.m_tokensPerSecond * share, organisation.m_burstTokens * share };
    }

    auto takeoverTokens(const Organisation& organisation, const ShardContext& context) -> double
    {
        const auto& bounds = context.m_bounds;
        const auto rate = shardRate(organisation, context.m_reachableShare);
        const auto seconds = std::chrono::duration<double>(bounds.m_window).count();
        const auto window = rate.m_tokensPerSecond * seconds + rate.m_burstTokens;
        return std::min(window * bounds.m_excess * takeoverExcessShare, rate.m_burstTokens);
    }

    // Returns the time until a refused request may retry, behind those refused before it, and reserves the
    // tokens for it. `seconds` is the time in which the organisation's shards together refill its tokens,
    // since the request is charged to any of them.
    auto reserveRetryTime(OwnedShard& shard, Milliseconds wait, double seconds, MonotonicTime now)
        -> Milliseconds
    {
        const auto time
            = std::chrono::duration_cast<MonotonicTime::duration>(std::chrono::duration<double>(seconds));
        const auto retryAt = std::max(shard.m_tokensReservedUntil, now + wait) + time;
        shard.m_tokensReservedUntil
            = std::min<MonotonicTime>(retryAt, now + std::max<Milliseconds>(wait, maxRetryQueue));
        return std::chrono::duration_cast<Milliseconds>(shard.m_tokensReservedUntil - now);
    }

    auto isFleetKnown(const FleetView& fleet, MonotonicTime now) -> bool
    {
        constexpr auto summaryCoverageTime = std::chrono::seconds(3); // Every node sends a summary in it.
        return fleet.m_membersRead
            || (fleet.m_firstReceivedAt != MonotonicTime()
                && fleet.m_firstReceivedAt + summaryCoverageTime <= now);
    }

} // namespace

auto shardCount(const Organisation& organisation) -> std::size_t
{
    const auto shards = static_cast<std::size_t>(organisation.m_burstTokens / minShardBurstTokens);
    return std::clamp(shards, std::size_t { 1 }, maxShards);
}

auto shardCandidates(const FleetView& fleet, const ShardCandidate& self, MonotonicTime now)
    -> std::vector<VmName>
{
    if (!isFleetKnown(fleet, now))
        return {};
    auto ready = std::vector<std::pair<double, VmName>>();
    if (self.m_ready)
        ready.emplace_back(self.m_processorShare, self.m_vm);
    for (const auto& [vm, peer] : fleet.m_peers) {
        if (peer.m_ready && !peer.m_leaving && isAlive(peer, now))
            ready.emplace_back(peer.m_processorShare, vm);
    }
    std::sort(ready.begin(), ready.end(), std::greater<>());
    auto candidates = std::vector<VmName>();
    auto lowestShare = 0.0;
    for (const auto& [processorShare, vm] : ready) {
        if (candidates.size() >= minCandidates && processorShare < lowestShare)
            break;
        lowestShare = processorShare;
        candidates.push_back(vm);
    }
    return candidates;
}

auto shardOwner(const std::vector<VmName>& candidates, const ShardId& shard) -> std::optional<VmName>
{
    constexpr auto halfBits = 32U;
    const auto seed = (static_cast<std::uint64_t>(shard.m_organisation) << halfBits) + shard.m_shard;
    const auto owner = std::max_element(
        candidates.begin(), candidates.end(), [&](const VmName& left, const VmName& right) {
            return rendezvousRank(left, seed) < rendezvousRank(right, seed);
        });
    return owner == candidates.end() ? std::nullopt : std::optional(*owner);
}

auto reachableShare(const FleetView& fleet, MonotonicTime now) -> double
{
    const auto alive = std::count_if(fleet.m_peers.begin(), fleet.m_peers.end(),
        [&](const auto& entry) { return isAlive(entry.second, now); });
    return static_cast<double>(alive + 1) / static_cast<double>(fleetSize(fleet));
}

auto updateOwnedShards(
    OwnedShards& owned, const std::vector<Organisation>& organisations, const ShardContext& context) -> void
{
    if (owned.m_updatedAt + maxUpdateGap < context.m_bootClockNow)
        owned.m_shards.clear();
    owned.m_updatedAt = context.m_bootClockNow;
    owned.m_reachableShare = context.m_reachableShare;
    auto shards = std::map<ShardId, OwnedShard>();
    for (const auto& organisation : organisations) {
        for (auto number = std::size_t { 0 }; number < shardCount(organisation); ++number) {
            const auto name = ShardId { shortId(organisation.m_name.value()), number };
            if (shardOwner(context.m_candidates, name) != context.m_self)
                continue;
            const auto found = owned.m_shards.find(name);
            auto& shard = shards[name];
            if (found != owned.m_shards.end()) {
                shard = std::move(found->second);
            } else {
                shard.m_bucketId = owned.m_nextBucketId++;
                shard.m_bucket.m_tokens = takeoverTokens(organisation, context);
                shard.m_bucket.m_filledAt = context.m_now;
            }
            const auto rate = shardRate(organisation, context.m_reachableShare);
            refill(shard.m_bucket, rate, context.m_now);
            clip(shard.m_bucket, rate.m_burstTokens);
        }
    }
    owned.m_shards = std::move(shards);
}

auto chargeShard(OwnedShards& owned, const ShardId& name, const Organisation& organisation, double tokens,
    MonotonicTime now) -> ShardCharge
{
    const auto found = owned.m_shards.find(name);
    if (found == owned.m_shards.end())
        return {};
    // The sender may still have a configuration in which the organisation has a limit.
    if (organisation.m_tokensPerSecond <= 0)
        return { ChargeOutcome::Granted, found->second.m_bucketId, noCharge, Milliseconds(0) };
    auto& bucket = found->second.m_bucket;
    const auto rate = shardRate(organisation, owned.m_reachableShare);
    refill(bucket, rate, now);
    const auto shardTotal = static_cast<double>(shardCount(organisation));
    const auto overdraft = std::max(0.0, tokens - organisation.m_burstTokens / shardTotal);
    bucket.m_tokens += overdraft;
    const auto charged = charge(bucket, tokens);
    bucket.m_tokens -= overdraft;
    if (charged)
        return { ChargeOutcome::Granted, found->second.m_bucketId, *charged, Milliseconds(0) };
    const auto wait = timeUntil(bucket, rate, std::min(tokens, rate.m_burstTokens));
    auto refused = ShardCharge { ChargeOutcome::Refused, found->second.m_bucketId, 0, {} };
    refused.m_retryAfter
        = reserveRetryTime(found->second, wait, tokens / rate.m_tokensPerSecond / shardTotal, now);
    return refused;
}

auto refundShard(
    OwnedShards& owned, const ShardId& name, std::uint64_t bucket, ChargeId charge, double tokens) -> void
{
    const auto found = owned.m_shards.find(name);
    if (found != owned.m_shards.end() && found->second.m_bucketId == bucket)
        refund(found->second.m_bucket, charge, tokens);
}

} // namespace marigoldladder::relay
