#include "limits/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace marigoldladder {

namespace {

    constexpr auto longestWait = std::chrono::milliseconds(60'000);
    constexpr auto millisecondsPerSecond = 1000.0;

} // namespace

auto refill(TokenBucket& bucket, const BucketRate& rate, MonotonicTime now) -> void
{
    const auto elapsed = std::chrono::duration<double>(now - bucket.m_filledAt).count();
    bucket.m_filledAt = std::max(bucket.m_filledAt, now);
    if (elapsed <= 0)
        return;
    const auto room = std::max(0.0, rate.m_burstTokens - bucket.m_reserved);
    bucket.m_tokens = std::min(room, bucket.m_tokens + elapsed * rate.m_tokensPerSecond);
}

auto reserve(TokenBucket& bucket, double tokens) -> bool
{
    if (bucket.m_tokens < tokens)
        return false;
    bucket.m_tokens -= tokens;
    bucket.m_reserved += tokens;
    return true;
}

auto settle(TokenBucket& bucket, double reserved, double used) -> void
{
    bucket.m_reserved = std::max(0.0, bucket.m_reserved - reserved);
    bucket.m_tokens += std::max(0.0, reserved - used);
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
