#include "relay/organisation_budget.h"

#include "relay/fleet_view.h"

#include <algorithm>
#include <cmath>

namespace marigoldladder::relay {

namespace {

    constexpr auto demandMemory = 3.0; // Seconds after which demand counts for 1/e.
    constexpr auto shortestRetry = Milliseconds(50);

    // Part of the burst that stays for the nodes' own parts: several nodes may charge the rest at once
    // before they hear of each other.
    constexpr auto reservedBurst = 0.25;

    auto noteDemand(OrganisationBudget& budget, double tokens, MonotonicTime now) -> void
    {
        budget.m_demand = demandOf(budget, now) + tokens / demandMemory;
        budget.m_demandAt = now;
    }

    auto updateOwnPart(OrganisationBudget& budget, const BucketRate& rate, bool startFull, MonotonicTime now)
        -> void
    {
        if (!budget.m_started) {
            budget.m_started = true;
            budget.m_bucket.m_tokens = startFull ? rate.m_burstTokens : 0;
            budget.m_bucket.m_filledAt = now;
        }
        refill(budget.m_bucket, rate, now);
        clip(budget.m_bucket, rate.m_burstTokens);
    }

    auto updateFleetLevel(OrganisationBudgets& budgets, OrganisationBudget& budget,
        const Organisation& organisation, double heardShare, MonotonicTime now) -> void
    {
        const auto& peers = budgets.m_peers[shortId(organisation.m_name.value())];
        if (budget.m_fleetLevelAt == MonotonicTime()) {
            budget.m_fleetLevel = budgets.m_startFull ? organisation.m_burstTokens : 0;
            budget.m_peersSpentSeen = budgets.m_startFull ? 0 : peers.m_total;
        } else {
            const auto seconds = std::chrono::duration<double>(now - budget.m_fleetLevelAt).count();
            budget.m_fleetLevel += seconds * organisation.m_tokensPerSecond * heardShare;
        }
        budget.m_fleetLevelAt = now;
        budget.m_fleetLevel -= peers.m_total - budget.m_peersSpentSeen;
        budget.m_peersSpentSeen = peers.m_total;
        budget.m_fleetLevel = std::min(budget.m_fleetLevel, organisation.m_burstTokens);
    }

    auto chargeOwnPart(OrganisationBudget& budget, double tokens, double debt) -> std::optional<ChargeId>
    {
        auto& bucket = budget.m_bucket;
        bucket.m_tokens += debt;
        const auto charged = charge(bucket, tokens);
        bucket.m_tokens -= debt;
        return charged;
    }

} // namespace

auto tokensOf(const Organisation& organisation, bool statesTokens, double promptTokens, double outputTokens)
    -> double
{
    return statesTokens ? promptTokens + outputTokens : organisation.m_plainTokens;
}

auto demandOf(const OrganisationBudget& budget, MonotonicTime now) -> double
{
    if (budget.m_demandAt == MonotonicTime())
        return 0;
    const auto age = std::chrono::duration<double>(now - budget.m_demandAt).count();
    return budget.m_demand * std::exp(-age / demandMemory);
}

auto chargeOrganisation(OrganisationBudgets& budgets, const Organisation& organisation, double tokens,
    const BudgetShare& share, MonotonicTime now) -> BudgetDecision
{
    if (organisation.m_tokensPerSecond <= 0)
        return BudgetDecision { true, std::nullopt, 0, Milliseconds(0) };
    auto& budget = budgets.m_budgets[organisation.m_name];
    noteDemand(budget, tokens, now);
    const auto rate = BucketRate { organisation.m_tokensPerSecond * share.m_own,
        organisation.m_burstTokens * share.m_own };
    updateOwnPart(budget, rate, budgets.m_startFull, now);
    updateFleetLevel(budgets, budget, organisation, share.m_heard, now);
    const auto charged = chargeOwnPart(budget, tokens, share.m_debt);
    const auto fleetHasIt
        = share.m_hearsOthers && budget.m_fleetLevel - tokens >= organisation.m_burstTokens * reservedBurst;
    if (charged || fleetHasIt) {
        budget.m_spent += tokens;
        budget.m_fleetLevel -= tokens;
        return BudgetDecision { true, charged, tokens, Milliseconds(0) };
    }
    const auto missing = tokens - share.m_debt - budget.m_bucket.m_tokens;
    const auto seconds = missing / std::max(rate.m_tokensPerSecond, 1.0);
    constexpr auto millisecondsASecond = 1'000.0;
    const auto wait = Milliseconds(static_cast<std::int64_t>(seconds * millisecondsASecond));
    return BudgetDecision { false, std::nullopt, 0, std::max(wait, shortestRetry) };
}

auto updateFleetLevels(OrganisationBudgets& budgets, const Organisation& organisation, double heardShare,
    MonotonicTime now) -> void
{
    if (organisation.m_tokensPerSecond > 0)
        updateFleetLevel(budgets, budgets.m_budgets[organisation.m_name], organisation, heardShare, now);
}

auto refundOrganisation(
    OrganisationBudgets& budgets, const OrganisationName& name, const BudgetDecision& decision) -> void
{
    const auto found = budgets.m_budgets.find(name);
    if (found == budgets.m_budgets.end() || decision.m_tokens <= 0)
        return;
    auto& budget = found->second;
    budget.m_spent -= decision.m_tokens;
    budget.m_fleetLevel += decision.m_tokens;
    if (decision.m_charge)
        refund(budget.m_bucket, *decision.m_charge, decision.m_tokens);
}

auto enterPeerSpending(OrganisationBudgets& budgets, std::uint32_t organisation, const VmName& vm,
    const PeerSpending& spending) -> void
{
    auto& peers = budgets.m_peers[organisation];
    auto& last = peers.m_peers[vm];
    const auto sameRun = last.m_incarnation == spending.m_incarnation;
    peers.m_total += spending.m_spent - (sameRun ? last.m_spent : 0);
    last = spending;
}

} // namespace marigoldladder::relay
