#include "limits/allowance.h"

namespace marigoldladder {

Allowance::Allowance(Blackboard& blackboard)
    : m_blackboard(blackboard)
{
}

auto Allowance::rateOf(const OrganisationName& name) const -> BucketRate
{
    const auto fraction = m_blackboard.m_shares.read([&](const ShareTable& table) {
        const auto found = table.m_shares.find(name);
        return found == table.m_shares.end() ? table.m_defaultFraction : found->second.m_fraction;
    });
    return m_blackboard.m_configuration.read([&](const Configuration& configuration) {
        const auto found = configuration.m_organisations.find(name);
        if (found == configuration.m_organisations.end())
            return BucketRate();
        const auto& organisation = found->second;
        return BucketRate { organisation.m_tokensPerSecond * fraction,
            organisation.m_burstTokens * fraction };
    });
}

auto Allowance::admit(const OrganisationName& organisation, double tokens, MonotonicTime now)
    -> Result<Reservation>
{
    const auto rate = rateOf(organisation);
    const auto lock = std::lock_guard(m_mutex);
    auto& bucket = m_buckets[organisation];
    refill(bucket, rate, now);
    if (reserve(bucket, tokens))
        return Reservation { organisation, tokens };
    m_blackboard.m_metrics.add(Counter::AllowanceRefusals);
    auto failure = notRun(FailureType::AllowanceExceeded, "the organisation's allowance is spent");
    failure.m_retryAfter = timeUntil(bucket, rate, tokens);
    return failure;
}

auto Allowance::settle(const Reservation& reservation, double usedTokens) -> void
{
    if (reservation.m_organisation.empty())
        return;
    const auto lock = std::lock_guard(m_mutex);
    marigoldladder::settle(m_buckets[reservation.m_organisation], reservation.m_tokens, usedTokens);
}

} // namespace marigoldladder
