// Charges requests to organisations' allowances, whichever nodes keep their parts.
#pragma once

#include "relay/allowance_shards.h"
#include "relay/peer_socket.h"
#include "relay/relay_board.h"
#include "relay/relay_settings.h"

#include <boost/asio/steady_timer.hpp>
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
    Unknown, // No node that keeps a part answered in time.
};

inline constexpr auto allowanceOutcomeNames = std::array {
    EnumName<AllowanceOutcome> { AllowanceOutcome::Granted, "granted" },
    EnumName<AllowanceOutcome> { AllowanceOutcome::Spent, "spent" },
    EnumName<AllowanceOutcome> { AllowanceOutcome::Unknown, "unknown" },
};

// What a charge came to.
struct AllowanceDecision {
    AllowanceOutcome m_outcome = AllowanceOutcome::Granted;
    Milliseconds m_retryAfter { 0 }; // When it was not granted.
    double m_tokens = 0; // Granted; 0 when nothing is limited.
    VmName m_owner;
    ShardId m_shard;
    ShardCharge m_charge;
};

class AllowanceExchange {
public:
    AllowanceExchange(Executor, const RelaySettings&, RelayBoard&, PeerSocket&, Incarnation);

    // Keeps this node's parts up to date from then on.
    auto start(std::function<bool()> isReady) -> void;

    // Charges a request to one of the organisation's parts, another one if the first doesn't have the
    // tokens or isn't reached. Takes no longer than a few round trips between nodes.
    auto charge(const Organisation&, double tokens) -> Awaitable<AllowanceDecision>;

    // Gives back what was granted to a request that did not run.
    auto refund(const AllowanceDecision&) -> void;

    // Take a peer's message.
    auto handle(const messages::ChargeRequest&, const Address& from) -> void;
    auto handle(const messages::ChargeAnswer&) -> void;
    auto handle(const messages::Refund&) -> void;

private:
    // A charge that another node was asked for.
    struct PendingCharge {
        net::steady_timer m_timer; // Ends early when the answer has come.
        std::optional<ShardCharge> m_answer;
    };

    // An answer given lately, for the case that its datagram is lost.
    struct RecentAnswer {
        std::string m_host; // The asker's; its process by the incarnation.
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
    std::map<VmName, MonotonicTime> m_unresponsiveUntil; // Keepers that did not answer aren't asked before.
    std::uint64_t m_lastRequestNumber = 0; // Of the requests to other nodes.
    std::map<std::uint64_t, PendingCharge*> m_pendingCharges;
    std::deque<RecentAnswer> m_recentAnswers; // Oldest first.
    std::mt19937 m_random;
};

} // namespace marigoldladder::relay
