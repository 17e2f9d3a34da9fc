// A token bucket as a plain value, with the decisions on it as functions of the clock.
#pragma once

#include "core/blackboard.h"

namespace marigoldladder {

// How fast a bucket fills, and how much it holds.
struct BucketRate {
    double m_tokensPerSecond = 0;
    double m_burstTokens = 0;
};

struct TokenBucket {
    double m_tokens = 0;
    double m_reserved = 0; // Taken but perhaps given back later; counts against the burst meanwhile.
    MonotonicTime m_filledAt {};
};

// Adds what has come in since the last call. Tokens and reservations together never exceed the burst.
auto refill(TokenBucket&, const BucketRate&, MonotonicTime now) -> void;

// Takes `tokens` if the bucket has them, keeping them reserved; returns whether it did.
auto reserve(TokenBucket&, double tokens) -> bool;

// Ends a reservation: `used` of its tokens are spent, the rest go back.
auto settle(TokenBucket&, double reserved, double used) -> void;

// Returns how long it takes until the bucket holds `tokens`, or a bound when it never will.
auto timeUntil(const TokenBucket&, const BucketRate&, double tokens) -> std::chrono::milliseconds;

} // namespace marigoldladder
