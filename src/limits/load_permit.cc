#include "limits/load_permit.h"

#include <algorithm>

namespace marigoldladder {

namespace {

    // A burst of one load would have to be gathered whole from all holders, and fail if one gave a bit less.
    constexpr auto leastBurst = 2.0;

    constexpr auto shortestWait = std::chrono::milliseconds(20);
    constexpr auto longestWait = std::chrono::milliseconds(250);

    auto weightStoreName() -> OrganisationName
    {
        return OrganisationName("(weight store)");
    }

} // namespace

auto weightStoreAccount(const WeightStoreLimits& limits) -> Organisation
{
    auto account = Organisation();
    account.m_name = weightStoreName();
    account.m_tokensPerSecond = limits.m_loadsPerSecond;
    const auto burst = std::min(static_cast<double>(limits.m_maxInFlight), limits.m_loadsPerSecond);
    account.m_burstTokens = std::max(leastBurst, burst);
    return account;
}

auto takeLoadPermit(Allowance& allowance) -> std::chrono::milliseconds
{
    const auto reservation = allowance.admit(weightStoreName(), 1);
    if (!reservation)
        return std::clamp(reservation.error().m_retryAfter, shortestWait, longestWait);
    allowance.settle(reservation.value(), 1);
    return {};
}

} // namespace marigoldladder
