// A token bucket as a plain value, with the decisions on it as functions of the clock.
//
// Charges may be given back in part later. The bucket remembers for each charge how much of it may still
// come back, and as it refills it forgets the oldest first, so that a refund never adds to what the refill
// has already made up for. Tokens on their way to a peer are held: they count as if still in the bucket
// until the peer can no longer spend them. Thus what is charged less what is refunded, counted at the time
// of the charge, never exceeds `burst + rate * window` in any window.
#pragma once

#include "core/blackboard.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace marigoldladder {

// How fast a bucket fills, and how much it holds.
struct BucketRate {
    double m_tokensPerSecond = 0;
    double m_burstTokens = 0;
};

using ChargeId = std::uint64_t;

// One charge that may still be refunded in part.
struct RefundableCharge {
    double m_tokens = 0;
    bool m_held = false; // On its way to a peer.
};

// Until when a peer may spend tokens that were given to it.
struct TokenHold {
    ChargeId m_charge = 0;
    MonotonicTime m_until {};
};

struct TokenBucket {
    double m_tokens = 0; // Below zero after a request used more than it was charged.
    MonotonicTime m_filledAt {};
    std::deque<RefundableCharge> m_charges; // Oldest first; the first one's id is `m_firstCharge`.
    ChargeId m_firstCharge = 0;
    double m_refundable = 0; // Sum over the charges that are not held.
    double m_held = 0; // Sum over those that are.
    std::deque<TokenHold> m_holds; // In the order of their ends.
};

// Adds what has come in since the last call.
auto refill(TokenBucket&, const BucketRate&, MonotonicTime now) -> void;

// Cuts the bucket down to a burst that was lowered.
auto clip(TokenBucket&, double burstTokens) -> void;

// Takes `tokens` if the bucket has them; the charge's id is for its refund.
auto charge(TokenBucket&, double tokens) -> std::optional<ChargeId>;

// Takes `tokens`, which the bucket must have, for a peer that spends them before `until` or never. Call it
// with ends that never go back.
auto chargeHeld(TokenBucket&, double tokens, MonotonicTime until) -> ChargeId;

// Gives back `tokens` of a charge as far as that is still due, and ends it. A second refund of the same
// charge gives nothing. Returns what was given back.
auto refund(TokenBucket&, ChargeId, double tokens) -> double;

// Returns how long it takes until the bucket holds `tokens`, or a bound when it never will.
auto timeUntil(const TokenBucket&, const BucketRate&, double tokens) -> std::chrono::milliseconds;

} // namespace marigoldladder
