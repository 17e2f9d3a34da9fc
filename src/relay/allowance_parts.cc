#include "relay/allowance_parts.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <xxhash.h>

namespace marigoldladder::relay {

namespace {

    constexpr auto mostParts = std::size_t { 3 };
    constexpr auto smallestPartTokens = 8'000.0; // Of burst: a few requests' worth.

    // So that one node's loss takes few parts away.
    constexpr auto fewestCandidates = std::size_t { 2 * mostParts };

    // Of what the bounds allow beyond rate and burst: what all parts together start with when other nodes
    // take them over. All nodes may restart twice in a window.
    constexpr auto takeoverShare = 0.3;

    constexpr auto noCharge = std::numeric_limits<ChargeId>::max(); // No refund finds it.

    // Refused requests line up for so long; beyond it a request that returns finds others in its place
    // anyway.
    constexpr auto longestQueue = std::chrono::milliseconds(5'000);

    // A longer time without an update means that this process stood still, and others may have taken its
    // parts over meanwhile.
    constexpr auto longestPause = std::chrono::milliseconds(1'200);

    auto rateOfPart(const Organisation& organisation, double heard) -> BucketRate
    {
        const auto share = heard / static_cast<double>(partsOf(organisation));
        return { organisation.m_tokensPerSecond * share, organisation.m_burstTokens * share };
    }

    auto takeoverTokens(const Organisation& organisation, const PartContext& context) -> double
    {
        const auto& bounds = context.m_bounds;
        const auto rate = rateOfPart(organisation, context.m_heardShare);
        const auto seconds = std::chrono::duration<double>(bounds.m_window).count();
        const auto window = rate.m_tokensPerSecond * seconds + rate.m_burstTokens;
        return std::min(window * bounds.m_excess * takeoverShare, rate.m_burstTokens);
    }

    // Returns when a refused request may return: after those that were refused before it. `seconds`: in which
    // its tokens come in; it asks all parts, and each adds its share of them.
    auto nextReturn(KeptPart& part, Milliseconds wait, double seconds, MonotonicTime now) -> Milliseconds
    {
        const auto time
            = std::chrono::duration_cast<MonotonicTime::duration>(std::chrono::duration<double>(seconds));
        const auto returnsAt = std::max(part.m_returnsUntil, now + wait) + time;
        part.m_returnsUntil
            = std::min<MonotonicTime>(returnsAt, now + std::max<Milliseconds>(wait, longestQueue));
        return std::chrono::duration_cast<Milliseconds>(part.m_returnsUntil - now);
    }

    auto knowsFleet(const FleetView& fleet, MonotonicTime now) -> bool
    {
        constexpr auto hearingTime = std::chrono::seconds(3); // In which every node tells of itself.
        return fleet.m_membersRead
            || (fleet.m_firstReceivedAt != MonotonicTime() && fleet.m_firstReceivedAt + hearingTime <= now);
    }

} // namespace

auto partsOf(const Organisation& organisation) -> std::size_t
{
    const auto parts = static_cast<std::size_t>(organisation.m_burstTokens / smallestPartTokens);
    return std::clamp(parts, std::size_t { 1 }, mostParts);
}

auto partCandidates(const FleetView& fleet, const PartCandidate& self, MonotonicTime now)
    -> std::vector<VmName>
{
    if (!knowsFleet(fleet, now))
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
    auto lowest = 0.0;
    for (const auto& [processorShare, vm] : ready) {
        if (candidates.size() >= fewestCandidates && processorShare < lowest)
            break;
        lowest = processorShare;
        candidates.push_back(vm);
    }
    return candidates;
}

auto keeperOf(const std::vector<VmName>& candidates, const PartName& part) -> std::optional<VmName>
{
    constexpr auto halfBits = 32U;
    const auto seed = (static_cast<std::uint64_t>(part.m_organisation) << halfBits) + part.m_part;
    const auto rank
        = [&](const VmName& vm) { return XXH3_64bits_withSeed(vm.value().data(), vm.value().size(), seed); };
    const auto highest = std::max_element(candidates.begin(), candidates.end(),
        [&](const VmName& left, const VmName& right) { return rank(left) < rank(right); });
    return highest == candidates.end() ? std::nullopt : std::optional(*highest);
}

auto heardShare(const FleetView& fleet, MonotonicTime now) -> double
{
    const auto alive = std::count_if(fleet.m_peers.begin(), fleet.m_peers.end(),
        [&](const auto& entry) { return isAlive(entry.second, now); });
    return static_cast<double>(alive + 1) / static_cast<double>(fleetSize(fleet));
}

auto updateKeptParts(
    KeptParts& kept, const std::vector<Organisation>& organisations, const PartContext& context) -> void
{
    if (kept.m_updatedAt + longestPause < context.m_uninterrupted)
        kept.m_parts.clear();
    kept.m_updatedAt = context.m_uninterrupted;
    kept.m_heardShare = context.m_heardShare;
    auto parts = std::map<PartName, KeptPart>();
    for (const auto& organisation : organisations) {
        for (auto number = std::size_t { 0 }; number < partsOf(organisation); ++number) {
            const auto name = PartName { shortId(organisation.m_name.value()), number };
            if (keeperOf(context.m_candidates, name) != context.m_self)
                continue;
            const auto found = kept.m_parts.find(name);
            auto& part = parts[name];
            if (found != kept.m_parts.end()) {
                part = std::move(found->second);
            } else {
                part.m_number = kept.m_nextNumber++;
                part.m_bucket.m_tokens = takeoverTokens(organisation, context);
                part.m_bucket.m_filledAt = context.m_now;
            }
            const auto rate = rateOfPart(organisation, context.m_heardShare);
            refill(part.m_bucket, rate, context.m_now);
            clip(part.m_bucket, rate.m_burstTokens);
        }
    }
    kept.m_parts = std::move(parts);
}

auto chargePart(KeptParts& kept, const PartName& name, const Organisation& organisation, double tokens,
    MonotonicTime now) -> PartCharge
{
    const auto found = kept.m_parts.find(name);
    if (found == kept.m_parts.end())
        return {};
    // The asker may not know yet that the organisation's limit is gone.
    if (organisation.m_tokensPerSecond <= 0)
        return { ChargeOutcome::Granted, found->second.m_number, noCharge, Milliseconds(0) };
    auto& bucket = found->second.m_bucket;
    const auto rate = rateOfPart(organisation, kept.m_heardShare);
    refill(bucket, rate, now);
    const auto wholeParts = static_cast<double>(partsOf(organisation));
    const auto debt = std::max(0.0, tokens - organisation.m_burstTokens / wholeParts);
    bucket.m_tokens += debt;
    const auto charged = charge(bucket, tokens);
    bucket.m_tokens -= debt;
    if (charged)
        return { ChargeOutcome::Granted, found->second.m_number, *charged, Milliseconds(0) };
    const auto wait = timeUntil(bucket, rate, std::min(tokens, rate.m_burstTokens));
    auto refused = PartCharge { ChargeOutcome::Refused, found->second.m_number, 0, {} };
    refused.m_retryAfter = nextReturn(found->second, wait, tokens / rate.m_tokensPerSecond / wholeParts, now);
    return refused;
}

auto refundPart(KeptParts& kept, const PartName& name, std::uint64_t bucket, ChargeId charge, double tokens)
    -> void
{
    const auto found = kept.m_parts.find(name);
    if (found != kept.m_parts.end() && found->second.m_number == bucket)
        refund(found->second.m_bucket, charge, tokens);
}

} // namespace marigoldladder::relay
