// What each organisation may still spend at this node: its part of the rate and burst, in tokens.
#pragma once

#include "limits/token_bucket.h"
#include "relay/routing_configuration.h"

#include <map>

namespace marigoldladder::relay {

// This node's bucket of one organisation.
struct OrganisationBudget {
    TokenBucket m_bucket;
    bool m_started = false;
    double m_demand = 0; // Tokens asked for lately, decaying.
    MonotonicTime m_demandAt {};
    double m_share = 0; // Of the organisation's rate and burst that this node may spend.
};

struct OrganisationBudgets {
    std::map<OrganisationName, OrganisationBudget> m_budgets;
    bool m_startFull = false; // A first start: nobody has spent anything yet.
};

// What a charge came to.
struct BudgetDecision {
    bool m_allowed = false;
    std::optional<ChargeId> m_charge; // For the refund; absent when nothing is limited.
    Milliseconds m_retryAfter { 0 }; // When refused: until the tokens are there.
};

// The tokens that a request counts for.
auto tokensOf(const Organisation&, bool statesTokens, double promptTokens, double outputTokens) -> double;

// Charges a request to the organisation. `share` is this node's part, `debt` how far below zero the bucket
// may fall, so that requests larger than a small part of a burst are served too.
auto chargeOrganisation(OrganisationBudgets&, const Organisation&, double tokens, double share, double debt,
    MonotonicTime now) -> BudgetDecision;

// Gives the tokens of a request that did not run back.
auto refundOrganisation(OrganisationBudgets&, const OrganisationName&, ChargeId, double tokens) -> void;

// Returns the tokens a second that were asked for lately.
auto demandOf(const OrganisationBudget&, MonotonicTime now) -> double;

} // namespace marigoldladder::relay
