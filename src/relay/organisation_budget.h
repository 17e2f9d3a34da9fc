// What organisations may still spend at this node, in tokens of one rate and burst over all nodes.
//
// Two ways to be allowed: from this node's own part of the rate and burst, which is its alone and needs no
// word from others; or from what the whole fleet has left, as far as the others' latest summaries tell, while
// a good part of the burst is left. The first holds the limit when nodes are cut off or demand presses; the
// second keeps requests within the limit from being refused where they happen to arrive together.
#pragma once

#include "limits/token_bucket.h"
#include "relay/routing_configuration.h"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace marigoldladder::relay {

// Tokens that one peer told it was charged.
struct PeerSpending {
    Incarnation m_incarnation = 0;
    double m_spent = 0;
    std::optional<double> m_fleetLevel; // What the whole fleet has left, if the peer knows.
};

// One organisation as this node sees it.
struct OrganisationBudget {
    TokenBucket m_bucket; // This node's own part.
    bool m_started = false;
    double m_demand = 0; // Tokens asked for lately, decaying.
    MonotonicTime m_demandAt {};
    double m_spent = 0; // Charged here in this incarnation.
    double m_fleetLevel = 0; // What the whole fleet has left, by what is known here.
    MonotonicTime m_fleetLevelAt {};
    MonotonicTime m_startedAt {}; // When this node first kept a level.
    bool m_fleetLevelKnown = false; // It accounts for what was spent before this node started.
    double m_peersSpentSeen = 0; // Of `SpendingOfPeers::m_total`, what the level accounts for.
};

// What all peers together were charged of one organisation since this node started.
struct SpendingOfPeers {
    std::map<VmName, PeerSpending> m_peers;
    double m_total = 0;
    std::optional<double> m_toldLevel; // The last that a peer told of what the whole fleet has left.
};

struct OrganisationBudgets {
    std::map<OrganisationName, OrganisationBudget> m_budgets;
    std::unordered_map<std::uint32_t, SpendingOfPeers> m_peers; // By the organisation's short id.
    bool m_startFull = false; // A first start: nobody has spent anything yet.
};

// This node's place among those that share an organisation's rate.
struct BudgetShare {
    double m_own = 1; // Of rate and burst.
    double m_heard = 1; // Of the rate, what the nodes that are heard may spend, this one included.
    bool m_hearsOthers = false;
    double m_debt = 0; // How far below zero the own part may fall, so that large requests are served too.
};

// What a charge came to.
struct BudgetDecision {
    bool m_allowed = false;
    std::optional<ChargeId> m_charge; // In this node's own part; absent when the fleet's was charged.
    double m_tokens = 0; // Charged; 0 when nothing is limited.
    Milliseconds m_retryAfter { 0 }; // When refused: until the tokens are there.
};

// The tokens that a request counts for.
auto tokensOf(const Organisation&, bool statesTokens, double promptTokens, double outputTokens) -> double;

// Charges a request to the organisation.
auto chargeOrganisation(OrganisationBudgets&, const Organisation&, double tokens, const BudgetShare&,
    MonotonicTime now) -> BudgetDecision;

// Brings what the whole fleet has left up to date; call it often, so that a full burst isn't missed.
auto updateFleetLevels(OrganisationBudgets&, const Organisation&, double heardShare, MonotonicTime now)
    -> void;

// Returns what the whole fleet has left as far as this node may tell it to others; nothing when it doesn't
// know what was spent before it started.
auto knownFleetLevel(const OrganisationBudget&) -> std::optional<double>;

// Gives the tokens of a request that did not run back.
auto refundOrganisation(OrganisationBudgets&, const OrganisationName&, const BudgetDecision&) -> void;

// Enters what a peer told of its charges. What a peer spent before this node first heard of it is in the
// fleet's level that peers tell, so only later charges count, except on a first start.
auto enterPeerSpending(OrganisationBudgets&, std::uint32_t organisation, const VmName&, const PeerSpending&)
    -> void;

// Returns the tokens a second that were asked for lately.
auto demandOf(const OrganisationBudget&, MonotonicTime now) -> double;

} // namespace marigoldladder::relay
