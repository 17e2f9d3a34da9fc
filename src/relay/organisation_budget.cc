#include "relay/organisation_budget.h"

#include <algorithm>
#include <cmath>

namespace marigoldladder::relay {

namespace {

    constexpr auto demandMemory = 3.0; // Seconds after which demand counts for 1/e.
    constexpr auto shortestRetry = Milliseconds(50);

    auto noteDemand(OrganisationBudget& budget, double tokens, MonotonicTime now) -> void
    {
        budget.m_demand = demandOf(budget, now) + tokens / demandMemory;
        budget.m_demandAt = now;
    }

    auto adjustBucket(OrganisationBudget& budget, const BucketRate& rate, bool startFull, MonotonicTime now)
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
    double share, double debt, MonotonicTime now) -> BudgetDecision
{
    if (organisation.m_tokensPerSecond <= 0)
        return BudgetDecision { true, std::nullopt, Milliseconds(0) };
    auto& budget = budgets.m_budgets[organisation.m_name];
    noteDemand(budget, tokens, now);
    const auto rate
        = BucketRate { organisation.m_tokensPerSecond * share, organisation.m_burstTokens * share };
    adjustBucket(budget, rate, budgets.m_startFull, now);
    auto& bucket = budget.m_bucket;
    bucket.m_tokens += debt;
    const auto charged = charge(bucket, tokens);
    bucket.m_tokens -= debt;
    if (charged)
        return BudgetDecision { true, charged, Milliseconds(0) };
    const auto missing = tokens - debt - bucket.m_tokens;
    const auto seconds = missing / std::max(rate.m_tokensPerSecond, 1.0);
    constexpr auto millisecondsASecond = 1'000.0;
    const auto wait = Milliseconds(static_cast<std::int64_t>(seconds * millisecondsASecond));
    return BudgetDecision { false, std::nullopt, std::max(wait, shortestRetry) };
}

auto refundOrganisation(
    OrganisationBudgets& budgets, const OrganisationName& name, ChargeId charge, double tokens) -> void
{
    const auto found = budgets.m_budgets.find(name);
    if (found != budgets.m_budgets.end())
        refund(found->second.m_bucket, charge, tokens);
}

} // namespace marigoldladder::relay
