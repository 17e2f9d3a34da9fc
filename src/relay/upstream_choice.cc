#include "relay/upstream_choice.h"

#include "relay/run_software.h"
#include "relay/upstream_health.h"

#include <algorithm>
#include <limits>
#include <xxhash.h>

namespace marigoldladder::relay {

namespace {

    // Costs of a choice, in shares of an upstream's slots.
    constexpr auto otherDataCentreCost = 0.04; // Traffic between data centres costs a little.
    constexpr auto avoidedCost = 100.0; // Chosen only if no other upstream can serve the request.
    constexpr auto triedCost = 50.0; // Other upstreams are more likely to answer.

    // Random cost, so that nodes with the same figures don't all choose the same upstream. The older the
    // figures, the more nodes choose before the others' requests show up in them. In a large fleet, distant
    // peers send theirs only about once a second.
    constexpr auto jitterInSmallFleet = 0.03;
    constexpr auto jitterInLargeFleet = 0.4;
    constexpr auto limitedCost = 1.0; // Upstreams without a limit are preferred while they have free slots.
    // Until this node, which has asked for a permit, may ask for the next one.
    constexpr auto permitWait = std::chrono::milliseconds(5);
    constexpr auto coldCost = 1.0; // Warm upstreams are preferred while they have free slots.

    // Requests may fill this share of an upstream's memory by their stated token counts. These are upper
    // bounds; most requests need less.
    constexpr auto memoryOvercommit = 1.15;

    // Plain services queue a few requests, so they get this many times their slots.
    constexpr auto plainServiceOvercommit = 1.5;

    // Whether a route's or an organisation's list of regions allows a region; an empty list allows any.
    auto allowsRegion(const std::vector<std::string>& regions, const std::string& region) -> bool
    {
        return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
    }

    auto isInAllowedRegions(
        const Upstream& upstream, const UpstreamNeeds& needs, const ChoiceContext& context) -> bool
    {
        if (needs.m_routeRegions.empty() && needs.m_organisationRegions.empty())
            return true;
        if (!context.m_regions)
            return false;
        const auto found = context.m_regions->find(upstream.m_record.m_dataCentre);
        return found != context.m_regions->end() && allowsRegion(needs.m_routeRegions, found->second)
            && allowsRegion(needs.m_organisationRegions, found->second);
    }

    // Whether an upstream has the model or adapter that a request needs, or when its load ends.
    struct AdapterState {
        bool m_ready = false;
        bool m_loading = false;
        MonotonicTime m_readyAt {};
    };

    auto adapterState(const Upstream& upstream, const UpstreamNeeds& needs,
        std::optional<std::uint64_t> version, MonotonicTime now) -> AdapterState
    {
        if (needs.m_adapter.empty()) {
            const auto& models = upstream.m_record.m_models;
            const auto has = needs.m_model.empty()
                || std::find(models.begin(), models.end(), needs.m_model) != models.end();
            return { has, false, {} };
        }
        const auto found = upstream.m_adapters.find(needs.m_adapter);
        if (found == upstream.m_adapters.end() || found->second.m_evicted || found->second.m_missing)
            return {};
        if (version && found->second.m_version < *version)
            return {};
        const auto readyAt = found->second.m_readyAt;
        return { readyAt <= now, readyAt > now, readyAt };
    }

    // Whether new requests of the pool, or this stream, may go to the upstream at all.
    auto isEligible(const UpstreamTable& table, const Upstream& upstream, const UpstreamNeeds& needs) -> bool
    {
        return upstream.m_record.m_pool == needs.m_pool && acceptsNewRequests(table, upstream)
            && (!needs.m_software || runsSoftware(upstream, *needs.m_software));
    }

    // Returns the version that requests must run on: the newest announced one, once an engine serves it or
    // the time for older versions has passed. Otherwise any version will do.
    auto wantedVersion(const UpstreamTable& table, const UpstreamNeeds& needs, MonotonicTime now)
        -> std::optional<std::uint64_t>
    {
        const auto newest = newestVersion(table.m_versions, needs.m_adapter);
        if (!newest)
            return std::nullopt;
        for (const auto& [name, upstream] : table.m_upstreams) {
            if (isEligible(table, *upstream, needs) && adapterState(*upstream, needs, newest, now).m_ready)
                return newest;
        }
        return lowestVersionToSend(table.m_versions, needs.m_adapter, now);
    }

    auto slotLimit(const Upstream& upstream, const Pool* pool) -> double
    {
        const auto slots = static_cast<double>(std::max<std::size_t>(upstream.m_record.m_slots, 1));
        return pool && pool->m_engine ? slots : slots * plainServiceOvercommit;
    }

    auto hasCapacity(const Upstream& upstream, const Pool* pool, double tokens) -> bool
    {
        const auto requests = upstream.m_inFlight + upstream.m_peersInFlight;
        if (static_cast<double>(requests) >= slotLimit(upstream, pool))
            return false;
        if (!pool || !pool->m_engine || pool->m_engine->m_memoryTokens <= 0 || requests == 0)
            return true;
        const auto tokensInFlight = upstream.m_tokensInFlight + upstream.m_peersTokensInFlight;
        return tokensInFlight + tokens <= pool->m_engine->m_memoryTokens * memoryOvercommit;
    }

    auto jitter(const Upstream& upstream, const ChoiceContext& context) -> double
    {
        const auto& name = upstream.m_record.m_name.value();
        const auto draw = XXH3_64bits_withSeed(name.data(), name.size(), context.m_jitterSeed);
        constexpr auto drawRange = 18'446'744'073'709'551'616.0; // 2 to the 64th.
        const auto weight = context.m_smallFleet ? jitterInSmallFleet : jitterInLargeFleet;
        return weight * static_cast<double>(draw) / drawRange;
    }

    auto costOf(const Upstream& upstream, const Pool* pool, const UpstreamNeeds& needs,
        const ChoiceContext& context) -> double
    {
        const auto requests = static_cast<double>(upstream.m_inFlight + upstream.m_peersInFlight);
        auto cost = requests / slotLimit(upstream, pool);
        if (pool && pool->m_engine && pool->m_engine->m_memoryTokens > 0)
            cost += (upstream.m_tokensInFlight + upstream.m_peersTokensInFlight)
                / pool->m_engine->m_memoryTokens;
        if (upstream.m_record.m_dataCentre != needs.m_dataCentre)
            cost += otherDataCentreCost;
        if (upstream.m_health.m_avoidUntil > context.m_now)
            cost += avoidedCost;
        if (isCold(upstream, context.m_now))
            cost += coldCost;
        if (isLimited(upstream.m_requestLimit))
            cost += limitedCost;
        if (wasTried(needs, upstream))
            cost += triedCost;
        return cost + jitter(upstream, context);
    }

    auto hasColdAllowance(const Upstream& upstream, const Pool* pool, const ChoiceContext& context) -> bool
    {
        if (!isCold(upstream, context.m_now) || !pool || pool->m_coldRequestsPerSecond <= 0)
            return true;
        auto copy = Upstream();
        copy.m_coldAllowance = upstream.m_coldAllowance;
        copy.m_coldRefilledAt = upstream.m_coldRefilledAt;
        return acquireColdAllowance(copy, *pool, context.m_nodes, context.m_now);
    }

    auto earliest(MonotonicTime left, MonotonicTime right) -> MonotonicTime
    {
        if (left == MonotonicTime())
            return right;
        return right == MonotonicTime() ? left : std::min(left, right);
    }

    // Whether an upstream can take a request now, and what it costs; if not, why, and when that may change.
    struct Assessment {
        ChoiceOutcome m_outcome = ChoiceOutcome::Full;
        MonotonicTime m_retryAt {};
        double m_cost = 0;
    };

    auto assess(const Upstream& upstream, const Pool* pool, const UpstreamNeeds& needs,
        std::optional<std::uint64_t> version, const ChoiceContext& context) -> Assessment
    {
        const auto now = context.m_now;
        if (isUnreachable(upstream.m_reachability, now)) {
            // An adapter that the request needs has to be loaded at another upstream.
            const auto outcome = needs.m_adapter.empty() ? ChoiceOutcome::Full : ChoiceOutcome::NotLoaded;
            return { outcome, reachableAgainAt(upstream.m_reachability) };
        }
        if (const auto at = wantsRequestsAt(upstream, now); at > now)
            return { ChoiceOutcome::Paused, at };
        const auto adapter = adapterState(upstream, needs, version, now);
        if (!adapter.m_ready)
            return { adapter.m_loading ? ChoiceOutcome::Loading : ChoiceOutcome::NotLoaded,
                adapter.m_readyAt };
        if (upstream.m_fullUntil > now)
            return { ChoiceOutcome::Full, upstream.m_fullUntil };
        if (!hasCapacity(upstream, pool, needs.m_tokens) || !hasColdAllowance(upstream, pool, context))
            return { ChoiceOutcome::Full };
        return { ChoiceOutcome::Chosen, {}, costOf(upstream, pool, needs, context) };
    }

    // Keeps the outcome that is closest to a choice (the order of the enum), with its earliest retry time.
    auto raiseOutcome(UpstreamChoice& choice, ChoiceOutcome outcome, MonotonicTime retryAt) -> void
    {
        const auto rank = [](ChoiceOutcome value) { return static_cast<int>(value); };
        if (rank(outcome) > rank(choice.m_outcome)) {
            choice.m_outcome = outcome;
            choice.m_retryAt = retryAt;
        } else if (outcome == choice.m_outcome) {
            choice.m_retryAt = earliest(choice.m_retryAt, retryAt);
        }
    }

} // namespace

auto wasTried(const UpstreamNeeds& needs, const Upstream& upstream) -> bool
{
    return std::any_of(needs.m_tried.begin(), needs.m_tried.end(),
        [&](const auto& tried) { return tried.get() == &upstream; });
}

auto runsSoftware(const Upstream& upstream, SoftwareId software) -> bool
{
    return upstream.m_unlistedSoftware.value_or(upstream.m_record.m_software) == software;
}

auto acceptsNewRequests(const UpstreamTable& table, const Upstream& upstream) -> bool
{
    return !upstream.m_removed && !upstream.m_record.m_leaving
        && !table.m_evacuated.contains(upstream.m_record.m_dataCentre);
}

// A permit of its request limit was acquired after the choice, if one was needed, and is still valid.
auto maySendTo(const UpstreamTable& table, const Upstream& upstream, MonotonicTime now) -> bool
{
    return acceptsNewRequests(table, upstream) && upstream.m_pausedUntil <= now;
}

auto isCold(const Upstream& upstream, MonotonicTime now) -> bool
{
    return upstream.m_coldUntil > now || upstream.m_mayHaveRestarted;
}

auto wantsRequestsAt(const Upstream& upstream, MonotonicTime now) -> MonotonicTime
{
    const auto& room = upstream.m_room;
    const auto roomAt = room.m_isAsking ? now + permitWait : room.m_closedUntil;
    const auto wantedAt = std::max(upstream.m_pausedUntil, roomAt);
    const auto& limit = upstream.m_requestLimit;
    if (!isLimited(limit))
        return wantedAt;
    const auto closedUntil = limit.m_isAsking ? now + permitWait : limit.m_closedUntil;
    return std::max(wantedAt, closedUntil);
}

auto acquireColdAllowance(Upstream& upstream, const Pool& pool, std::size_t nodes, MonotonicTime now) -> bool
{
    const auto rate = pool.m_coldRequestsPerSecond / static_cast<double>(std::max<std::size_t>(nodes, 1));
    if (upstream.m_coldRefilledAt == MonotonicTime()) {
        upstream.m_coldAllowance = std::min(1.0, rate);
    } else {
        const auto seconds = std::chrono::duration<double>(now - upstream.m_coldRefilledAt).count();
        upstream.m_coldAllowance = std::min(1.0, upstream.m_coldAllowance + rate * seconds);
    }
    upstream.m_coldRefilledAt = now;
    if (upstream.m_coldAllowance < 1.0)
        return false;
    upstream.m_coldAllowance -= 1.0;
    return true;
}

// Entries may have told meanwhile which software a run has that the stream is bound to.
auto chooseUpstream(const UpstreamTable& table, UpstreamNeeds needs, const ChoiceContext& context)
    -> UpstreamChoice
{
    if (needs.m_software)
        needs.m_software = resolveSoftware(table, *needs.m_software);
    auto choice = UpstreamChoice();
    const auto& pools = context.m_configuration->m_pools;
    const auto found = pools.find(needs.m_pool);
    const auto* pool = found == pools.end() ? nullptr : &found->second;
    const auto version = wantedVersion(table, needs, context.m_now);
    auto lowest = std::numeric_limits<double>::infinity();
    for (const auto& [name, upstream] : table.m_upstreams) {
        if (!isEligible(table, *upstream, needs) || !isInAllowedRegions(*upstream, needs, context))
            continue;
        const auto assessment = assess(*upstream, pool, needs, version, context);
        if (assessment.m_outcome != ChoiceOutcome::Chosen) {
            raiseOutcome(choice, assessment.m_outcome, assessment.m_retryAt);
        } else if (assessment.m_cost < lowest) {
            lowest = assessment.m_cost;
            choice.m_upstream = upstream;
        }
    }
    if (choice.m_upstream) {
        choice.m_outcome = ChoiceOutcome::Chosen;
        choice.m_retryAt = {};
    }
    return choice;
}

} // namespace marigoldladder::relay
