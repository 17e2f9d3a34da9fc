// Charges requests to the shards of organisations' allowances, at whichever nodes own them.
#pragma once

#include "relay/allowance_shards.h"
#include "relay/peer_socket.h"
#include "relay/pending_answers.h"
#include "relay/relay_board.h"
#include "relay/relay_settings.h"

#include <deque>
#include <random>

namespace marigoldladder::relay::messages {
struct ChargeRequest;
struct ChargeAnswer;
struct Refund;
} // namespace marigoldladder::relay::messages

namespace marigoldladder::relay {

enum class AllowanceOutcome {
    Granted,
    Spent, // The organisation has no tokens left for the request.
    Unknown, // At least one shard's owner was unknown or did not answer in time, and no shard granted it.
};

inline constexpr auto allowanceOutcomeNames = std::array {
    EnumName<AllowanceOutcome> { AllowanceOutcome::Granted, "granted" },
    EnumName<AllowanceOutcome> { AllowanceOutcome::Spent, "spent" },
    EnumName<AllowanceOutcome> { AllowanceOutcome::Unknown, "unknown" },
};

// The result of a charge, and what its refund needs.
struct AllowanceDecision {
    AllowanceOutcome m_outcome = AllowanceOutcome::Granted;
    Milliseconds m_retryAfter { 0 }; // If not granted.
    double m_tokens = 0; // Granted; 0 if the organisation has no limit.
    VmName m_owner;
    ShardId m_shard;
    ShardCharge m_charge;
};

// Charges and refunds allowances for this node's requests, and serves the charges and refunds of its peers
// for the shards that this node owns.
class AllowanceExchange {
public:
    AllowanceExchange(Executor, const RelaySettings&, RelayBoard&, PeerSocket&, Incarnation);

    // Starts to update the set of shards that this node owns, periodically. `isReady`: whether this node may
    // own any.
    auto start(std::function<bool()> isReady) -> void;

    // Charges a request to one of the organisation's shards, starting at a random one and trying the next if
    // it has too few tokens or its owner doesn't answer. Takes no longer than a few round trips between
    // nodes.
    auto charge(const Organisation&, double tokens) -> Awaitable<AllowanceDecision>;

    // Refunds the tokens granted to a request that did not run.
    auto refund(const AllowanceDecision&) -> void;

    // Handle messages received from peers.
    auto handle(const messages::ChargeRequest&, const Address& from) -> void;
    auto handle(const messages::ChargeAnswer&) -> void;
    auto handle(const messages::Refund&) -> void;

private:
    // A recent answer, sent again if a request is repeated because the answer's datagram was lost.
    struct RecentAnswer {
        std::string m_host; // The sender's; the incarnation identifies its process.
        Incarnation m_senderIncarnation = 0;
        std::uint64_t m_requestNumber = 0;
        MonotonicTime m_at {};
        ShardCharge m_charge;
    };

    auto updatePeriodically() -> Awaitable<void>;
    auto update() -> void;
    auto findOrganisation(std::uint32_t shortId) const -> const Organisation*;
    auto chargeAt(const VmName& owner, const ShardId&, const Organisation&, double tokens)
        -> Awaitable<ShardCharge>;
    auto requestCharge(const VmName& owner, const ShardId&, double tokens) -> Awaitable<ShardCharge>;
    auto answerOnce(const messages::ChargeRequest&, const std::string& host) -> ShardCharge;

    Executor m_executor;
    const RelaySettings& m_settings;
    RelayBoard& m_board;
    PeerSocket& m_socket;
    Incarnation m_incarnation;
    std::function<bool()> m_isReady;
    OwnedShards m_owned;
    std::vector<VmName> m_candidates;
    std::map<VmName, MonotonicTime> m_unresponsiveUntil; // Owners that did not answer; not contacted before.
    PendingAnswers<ShardCharge> m_pendingCharges { 0 }; // Requests contain the incarnation as well.
    std::deque<RecentAnswer> m_recentAnswers; // Oldest first.
    std::mt19937 m_random;
};

} // namespace marigoldladder::relay
