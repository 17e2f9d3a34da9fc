// Gets permits for requests to limited upstreams from the owners of the limits' shards, and grants those of
// the shards that this node owns.
#pragma once

#include "relay/peer_socket.h"
#include "relay/pending_answers.h"
#include "relay/relay_board.h"
#include "relay/relay_settings.h"
#include "relay/shard_ownership.h"

#include <random>

namespace marigoldladder::relay::messages {
struct PermitRequest;
struct PermitAnswer;
} // namespace marigoldladder::relay::messages

namespace marigoldladder::relay {

class RequestLimitExchange {
public:
    RequestLimitExchange(Executor, const RelaySettings&, RelayBoard&, PeerSocket&, Incarnation);

    // Starts to update the set of shards that this node owns, periodically. `isReady`: whether this node may
    // own any.
    auto start(std::function<bool()> isReady) -> void;

    // Gets a permit to send the upstream one request, from any of the limit's shards. Takes no longer than a
    // few round trips between nodes. Returns false if there is none; the upstream is closed for this node
    // then until there may be one.
    auto acquire(UpstreamPointer) -> Awaitable<bool>;

    // Handle messages received from peers.
    auto handle(const messages::PermitRequest&, const Address& from) -> void;
    auto handle(const messages::PermitAnswer&) -> void;

private:
    auto updatePeriodically() -> Awaitable<void>;
    auto update() -> void;
    auto updateShards(Upstream&, MonotonicTime now) const -> void;
    auto ask(Upstream&, std::size_t shard) -> Awaitable<LimitPermit>;
    auto askPeer(const Address&, const Upstream&, std::size_t shard) -> Awaitable<LimitPermit>;
    auto answerTo(const messages::PermitRequest&) -> LimitPermit;

    Executor m_executor;
    const RelaySettings& m_settings;
    RelayBoard& m_board;
    PeerSocket& m_socket;
    std::function<bool()> m_isReady;
    ShardOwnership m_ownership;
    PendingAnswers<LimitPermit> m_pendingPermits; // Numbered from one that no earlier process has used.
    std::mt19937 m_random;
};

} // namespace marigoldladder::relay
