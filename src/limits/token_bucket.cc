#include "limits/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace marigoldladder {

namespace {

    constexpr auto longestWait = std::chrono::milliseconds(60'000);
    constexpr auto millisecondsPerSecond = 1000.0;

    auto findCharge(TokenBucket& bucket, ChargeId id) -> RefundableCharge*
    {
        const auto index = id - bucket.m_firstCharge;
        return id < bucket.m_firstCharge || index >= bucket.m_charges.size() ? nullptr
                                                                             : &bucket.m_charges[index];
    }

    auto dropEndedCharges(TokenBucket& bucket) -> void
    {
        while (!bucket.m_charges.empty() && bucket.m_charges.front().m_tokens <= 0) {
            bucket.m_charges.pop_front();
            ++bucket.m_firstCharge;
        }
    }

    // Forgets refunds, the oldest first, until they fit beside the tokens.
    auto forgetRefunds(TokenBucket& bucket, double burstTokens) -> void
    {
        auto surplus = bucket.m_refundable + bucket.m_held + bucket.m_tokens - burstTokens;
        for (auto& charge : bucket.m_charges) {
            if (surplus <= 0)
                break;
            if (charge.m_held)
                continue;
            const auto forgotten = std::min(charge.m_tokens, surplus);
            charge.m_tokens -= forgotten;
            bucket.m_refundable -= forgotten;
            surplus -= forgotten;
        }
        dropEndedCharges(bucket);
    }

    auto fillUntil(TokenBucket& bucket, const BucketRate& rate, MonotonicTime end) -> void
    {
        const auto elapsed = std::chrono::duration<double>(end - bucket.m_filledAt).count();
        if (elapsed <= 0)
            return;
        bucket.m_filledAt = end;
        const auto room = rate.m_burstTokens - bucket.m_held;
        bucket.m_tokens = std::min(room, bucket.m_tokens + elapsed * rate.m_tokensPerSecond);
        forgetRefunds(bucket, rate.m_burstTokens);
    }

    auto endHold(TokenBucket& bucket, ChargeId id) -> void
    {
        auto* charge = findCharge(bucket, id);
        if (!charge || !charge->m_held)
            return;
        charge->m_held = false;
        bucket.m_held -= charge->m_tokens;
        bucket.m_refundable += charge->m_tokens;
    }

} // namespace

auto refill(TokenBucket& bucket, const BucketRate& rate, MonotonicTime now) -> void
{
    while (!bucket.m_holds.empty() && bucket.m_holds.front().m_until <= now) {
        fillUntil(bucket, rate, bucket.m_holds.front().m_until);
        endHold(bucket, bucket.m_holds.front().m_charge);
        bucket.m_holds.pop_front();
    }
    fillUntil(bucket, rate, now);
}

auto clip(TokenBucket& bucket, double burstTokens) -> void
{
    bucket.m_tokens = std::min(bucket.m_tokens, burstTokens - bucket.m_held);
    forgetRefunds(bucket, burstTokens);
}

auto charge(TokenBucket& bucket, double tokens) -> std::optional<ChargeId>
{
    if (bucket.m_tokens < tokens)
        return std::nullopt;
    bucket.m_tokens -= tokens;
    bucket.m_refundable += tokens;
    bucket.m_charges.push_back({ tokens, false });
    return bucket.m_firstCharge + bucket.m_charges.size() - 1;
}

auto chargeHeld(TokenBucket& bucket, double tokens, MonotonicTime until) -> ChargeId
{
    bucket.m_tokens -= tokens;
    bucket.m_held += tokens;
    bucket.m_charges.push_back({ tokens, true });
    const auto id = bucket.m_firstCharge + bucket.m_charges.size() - 1;
    bucket.m_holds.push_back({ id, until });
    return id;
}

auto refund(TokenBucket& bucket, ChargeId id, double tokens) -> double
{
    auto* found = findCharge(bucket, id);
    if (!found)
        return 0;
    const auto given = std::clamp(tokens, 0.0, found->m_tokens);
    (found->m_held ? bucket.m_held : bucket.m_refundable) -= found->m_tokens;
    found->m_tokens = 0;
    bucket.m_tokens += given;
    dropEndedCharges(bucket);
    return given;
}

auto timeUntil(const TokenBucket& bucket, const BucketRate& rate, double tokens) -> std::chrono::milliseconds
{
    if (rate.m_tokensPerSecond <= 0 || tokens > rate.m_burstTokens)
        return longestWait;
    const auto missing = std::max(0.0, tokens - bucket.m_tokens);
    const auto wait = std::ceil(missing / rate.m_tokensPerSecond * millisecondsPerSecond);
    return std::min(longestWait, std::chrono::milliseconds(static_cast<std::int64_t>(wait)));
}

} // namespace marigoldladder
