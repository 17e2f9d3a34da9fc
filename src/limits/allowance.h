// The allowance of each organisation, as far as this node may spend it.
#pragma once

#include "core/blackboard.h"
#include "limits/token_bucket.h"
#include "marigoldladder/verdict.h"

#include <mutex>
#include <unordered_map>

namespace marigoldladder {

// Tokens set aside for one request. Give it back by `Allowance::settle`, once.
struct Reservation {
    OrganisationName m_organisation; // Empty: nothing was charged.
    double m_tokens = 0;
};

// Thread-safe. Reads rates from the configuration and this node's fractions from the shares.
class Allowance {
public:
    explicit Allowance(Blackboard&);

    // Sets `tokens` aside, or refuses with `NotRun` and the time after which to try again.
    auto admit(const OrganisationName&, double tokens, MonotonicTime now) -> Result<Reservation>;

    // Spends what was used and gives the rest back.
    auto settle(const Reservation&, double usedTokens) -> void;

private:
    auto rateOf(const OrganisationName&) const -> BucketRate;

    Blackboard& m_blackboard;
    std::mutex m_mutex;
    std::unordered_map<OrganisationName, TokenBucket> m_buckets;
};

} // namespace marigoldladder
