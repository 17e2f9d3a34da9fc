// The allowance of each organisation, as far as this node may spend it.
//
// The node spends from its own part first. When that does not suffice for a request, it asks the other
// holders for what is missing, and the request is admitted if all of it comes in time; else everything goes
// back to where it came from, and the request is admitted only if the node's own part suffices by then. No
// lock is held while peers are asked.
#pragma once

#include "core/blackboard.h"
#include "limits/share_slots.h"
#include "limits/token_bucket.h"
#include "marigoldladder/verdict.h"

#include <array>
#include <functional>
#include <map>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace marigoldladder {

using TransferId = StrongString<struct TransferIdTag>;

// For how long after asking a taker may spend what a peer gave. The giver holds the tokens as long.
inline constexpr auto transferTimeout = std::chrono::milliseconds(300);

// A request for tokens of an organisation, or their return.
struct TokenTransfer {
    OrganisationName m_organisation;
    TransferId m_id;
    double m_tokens = 0;
};

struct TokenGift {
    double m_tokens = 0;
    double m_left = 0; // What the giver has after it.
};

// How tokens travel between nodes. Both may be called from any thread.
struct TokenTransport {
    std::function<std::optional<TokenGift>(const VmName&, const TokenTransfer&)> m_ask; // Nothing: no answer.
    std::function<void(const VmName&, const TokenTransfer&)> m_giveBack; // May be lost.
};

using MonotonicClock = std::function<MonotonicTime()>;

// Tokens that a peer paid for a request.
struct ReceivedTokens {
    VmName m_giver;
    TransferId m_transfer;
    double m_tokens = 0;
};

// Tokens set aside for one request. Give it back by `Allowance::settle`, once.
struct Reservation {
    OrganisationName m_organisation; // Empty: nothing was charged.
    double m_tokens = 0; // In all.
    double m_ownTokens = 0; // Out of this node's bucket.
    ChargeId m_charge = 0;
    std::vector<ReceivedTokens> m_received;
};

// Thread-safe; requests of different groups of organisations do not wait for each other.
class Allowance {
public:
    // `fleetAccounts` are spent from like organisations' allowances, but belong to the fleet itself; their
    // rates come from the settings, and no release note changes them.
    Allowance(Blackboard&, VmName self, TokenTransport, MonotonicClock,
        std::vector<Organisation> fleetAccounts = {});

    // Sets `tokens` aside, or refuses with `NotRun` and the time after which to try again.
    auto admit(const OrganisationName&, double tokens) -> Result<Reservation>;

    // Spends what was used and gives the rest back to the buckets that paid.
    auto settle(const Reservation&, double usedTokens) -> void;

    // Debits what a peer asks for, as far as there is any. A transfer asked for twice is debited once.
    auto give(const TokenTransfer&) -> TokenGift;

    // Takes back tokens given earlier; what comes twice, or never was given, adds nothing.
    auto takeBack(const TokenTransfer&) -> void;

    // Sets this node's part of each group. What is lowered applies to every admission from now on, and
    // what is raised starts empty.
    auto setFractions(const GroupFractions&) -> void;

private:
    // What this node last heard of a peer's bucket.
    struct PeerHint {
        double m_tokens = 0;
        MonotonicTime m_heardAt {};
        MonotonicTime m_avoidUntil {}; // It did not answer.
    };

    struct Account {
        TokenBucket m_bucket;
        Revision m_rateRevision = 0; // When the organisation's rate was last changed.
        std::map<VmName, PeerHint> m_hints;
    };

    struct GivenTransfer {
        OrganisationName m_organisation;
        ChargeId m_charge = 0;
        TokenGift m_gift;
        MonotonicTime m_at {};
    };

    struct Group {
        std::mutex m_mutex;
        double m_fraction = 0;
        MonotonicTime m_since {}; // When the fraction was last changed.
        std::unordered_map<OrganisationName, Account> m_accounts;
        std::unordered_map<TransferId, GivenTransfer> m_given;
        std::deque<TransferId> m_givenOrder;
    };

    // Tokens gathered for one request.
    struct Gathering {
        Reservation m_reservation;
        MonotonicTime m_deadline {};
        double m_missing = 0;
    };

    struct Candidate {
        VmName m_vm;
        double m_estimate = 0;
        bool m_stale = false; // Not heard of lately; worth asking whatever the estimate.
    };

    auto fleetAccountOf(const OrganisationName&) const -> const Organisation*;
    auto organisationOf(const OrganisationName&) const -> Organisation;
    auto groupOf(const OrganisationName&) -> Group&;
    auto currentAccount(Group&, const Organisation&, MonotonicTime now) -> Account&;
    auto forgetOldTransfers(Group&, MonotonicTime now) -> void;
    auto candidatesFor(const Organisation&, const Account&, MonotonicTime now) const
        -> std::vector<Candidate>;
    auto refuse(const TokenBucket&, const Organisation&, double tokens) -> Failure;
    auto gather(Group&, const Organisation&, const std::vector<Candidate>&, Gathering&) -> void;
    auto rememberHint(Group&, const OrganisationName&, const VmName&, const std::optional<TokenGift>&)
        -> void;
    auto giveAllBack(Group&, const Reservation&) -> void;

    Blackboard& m_blackboard;
    VmName m_self;
    TokenTransport m_transport;
    MonotonicClock m_clock;
    std::vector<Organisation> m_fleetAccounts;
    std::array<Group, shareGroupCount> m_groups;
};

} // namespace marigoldladder
