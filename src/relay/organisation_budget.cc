#include "relay/organisation_budget.h"

#include "relay/fleet_view.h"

#include <algorithm>
#include <cmath>

namespace marigoldladder::relay {

namespace {

    constexpr auto demandMemory = 3.0; // Seconds after which demand counts for 1/e.
    constexpr auto shortestRetry = Milliseconds(50);

    // The users' bounds allow a tenth of a window's tokens and 17,000 more beyond rate and burst; 10,000 of
    // these are debts of the nodes' own parts. The rest is shared by two restarts of all nodes in a window.
    constexpr auto windowSeconds = 8.0;
    constexpr auto restartExcess = 0.05;
    constexpr auto restartSlack = 3'500.0; // Tokens.
    constexpr auto settleTime = std::chrono::seconds(8); // A window, so that nothing earlier counts any more.

    // Part of the burst that stays for the nodes' own parts: several nodes may charge the rest at once
    // before they hear of each other.
    constexpr auto reservedBurst = 0.25;

    auto noteDemand(OrganisationBudget& budget, double tokens, MonotonicTime now) -> void
    {
        budget.m_demand = demandOf(budget, now) + tokens / demandMemory;
        budget.m_demandAt = now;
    }

    // What this node may charge at once when it starts again, as nobody may know what was left: its part of
    // what the bounds allow beyond the rate, debts included.
    auto restartTokens(const Organisation& organisation, const BudgetShare& share) -> double
    {
        const auto window = organisation.m_tokensPerSecond * windowSeconds + organisation.m_burstTokens;
        const auto granted = (window * restartExcess + restartSlack) * share.m_own - share.m_debt;
        return std::min(organisation.m_burstTokens * share.m_own, granted);
    }

    auto updateOwnPart(OrganisationBudget& budget, const Organisation& organisation, const BudgetShare& share,
        bool startFull, MonotonicTime now) -> void
    {
        const auto rate = BucketRate { organisation.m_tokensPerSecond * share.m_own,
            organisation.m_burstTokens * share.m_own };
        if (!budget.m_started) {
            budget.m_started = true;
            budget.m_bucket.m_tokens = startFull ? rate.m_burstTokens : restartTokens(organisation, share);
            budget.m_bucket.m_filledAt = now;
        }
        refill(budget.m_bucket, rate, now);
        clip(budget.m_bucket, rate.m_burstTokens);
    }

    auto startFleetLevel(OrganisationBudget& budget, const Organisation& organisation,
        const SpendingOfPeers& peers, bool startFull, MonotonicTime now) -> void
    {
        budget.m_startedAt = now;
        budget.m_fleetLevelAt = now;
        budget.m_fleetLevelKnown = startFull;
        budget.m_fleetLevel = startFull ? organisation.m_burstTokens : 0;
        budget.m_peersSpentSeen = startFull ? 0 : peers.m_total;
    }

    // A node that started lately takes the level from a peer that has been there for longer.
    auto adoptFleetLevel(OrganisationBudget& budget, const SpendingOfPeers& peers, MonotonicTime now) -> void
    {
        if (budget.m_fleetLevelKnown)
            return;
        if (peers.m_toldLevel) {
            budget.m_fleetLevel = *peers.m_toldLevel;
            budget.m_peersSpentSeen = peers.m_total;
            budget.m_fleetLevelKnown = true;
        } else if (now - budget.m_startedAt >= settleTime) {
            budget.m_fleetLevelKnown = true;
        }
    }

    auto updateFleetLevel(OrganisationBudgets& budgets, OrganisationBudget& budget,
        const Organisation& organisation, double heardShare, MonotonicTime now) -> void
    {
        const auto& peers = budgets.m_peers[shortId(organisation.m_name.value())];
        if (budget.m_fleetLevelAt == MonotonicTime())
            startFleetLevel(budget, organisation, peers, budgets.m_startFull, now);
        adoptFleetLevel(budget, peers, now);
        const auto seconds = std::chrono::duration<double>(now - budget.m_fleetLevelAt).count();
        budget.m_fleetLevel += seconds * organisation.m_tokensPerSecond * heardShare;
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
    updateOwnPart(budget, organisation, share, budgets.m_startFull, now);
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
    const auto seconds = missing / std::max(organisation.m_tokensPerSecond * share.m_own, 1.0);
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

auto knownFleetLevel(const OrganisationBudget& budget) -> std::optional<double>
{
    return budget.m_fleetLevelKnown ? std::optional(budget.m_fleetLevel) : std::nullopt;
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
    const auto [found, isFirst] = peers.m_peers.try_emplace(vm, spending);
    auto& last = found->second;
    const auto before = last.m_incarnation == spending.m_incarnation ? last.m_spent : 0.0;
    if (!isFirst)
        peers.m_total += spending.m_spent - before;
    else if (budgets.m_startFull)
        peers.m_total += spending.m_spent;
    last = spending;
    if (spending.m_fleetLevel)
        peers.m_toldLevel = spending.m_fleetLevel;
}

} // namespace marigoldladder::relay
