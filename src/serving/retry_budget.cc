#include "serving/retry_budget.h"

#include <algorithm>

namespace marigoldladder {

auto noteSuccess(RetryAccount& account) -> void
{
    account.m_retries = std::min(account.m_most, account.m_retries + account.m_perSuccess);
}

auto takeRetry(RetryAccount& account) -> bool
{
    if (account.m_retries < 1)
        return false;
    account.m_retries -= 1;
    return true;
}

auto RetryBudget::noteSuccess() -> void
{
    const auto lock = std::lock_guard(m_mutex);
    marigoldladder::noteSuccess(m_account);
}

auto RetryBudget::takeRetry() -> bool
{
    const auto lock = std::lock_guard(m_mutex);
    return marigoldladder::takeRetry(m_account);
}

} // namespace marigoldladder
