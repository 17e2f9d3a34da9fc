// Gets requests room at the upstreams of brittle pools from the nodes that own it, and grants the room that
// this node owns.
#pragma once

#include "relay/peer_socket.h"
#include "relay/pending_answers.h"
#include "relay/relay_board.h"
#include "relay/relay_settings.h"
#include "relay/room_permit.h"
#include "relay/shard_ownership.h"

#include <random>

namespace marigoldladder::relay::messages {
struct RoomRequest;
struct RoomAnswer;
struct RoomReport;
struct RoomReceipt;
} // namespace marigoldladder::relay::messages

namespace marigoldladder::relay {

struct RoomAcquisition {
    bool m_isGranted = false;
    std::unique_ptr<RoomPermit> m_permit; // To be kept until the request has ended; null: none was needed.
};

class RoomExchange {
public:
    RoomExchange(Executor, const RelaySettings&, RelayBoard&, PeerSocket&, Incarnation);

    // Starts to update which upstreams' room this node owns, periodically. `isReady`: whether this node may
    // own any.
    auto start(std::function<bool()> isReady) -> void;

    // Gets room for one request to the upstream, if its pool is brittle. Takes no longer than a few round
    // trips between nodes. If there is none, the upstream is closed for this node until there may be some.
    auto acquire(UpstreamPointer) -> Awaitable<RoomAcquisition>;

    // Handle messages received from peers.
    auto handle(const messages::RoomRequest&, const Address& from) -> void;
    auto handle(const messages::RoomAnswer&) -> void;
    auto handle(const messages::RoomReport&, const Address& from) -> void;
    auto handle(const messages::RoomReceipt&) -> void;

private:
    auto updatePeriodically() -> Awaitable<void>;
    auto update() -> void;
    auto updateAfterPause() -> void;
    auto updateLedger(Upstream&, const std::vector<Incarnation>& alive, MonotonicTime now) const -> void;
    auto incarnationsAlive(MonotonicTime now) const -> std::vector<Incarnation>;
    auto ownerOf(const Upstream&) const -> std::optional<VmName>;
    auto addressOf(const VmName&) const -> std::optional<Address>;
    auto stateOf(const Upstream&, Milliseconds refusalInterval) const -> RoomState;
    auto refusalIntervalOf(const Upstream&) const -> Milliseconds;
    auto grant(Upstream&, RoomRequestId, Milliseconds refusalInterval) -> RoomAnswer;
    auto ask(const Upstream&, RoomRequestId, const VmName& owner) -> Awaitable<std::optional<RoomAnswer>>;
    auto useAnswer(const UpstreamPointer&, RoomRequestId, const VmName& owner, const RoomAnswer&)
        -> RoomAcquisition;
    auto goWithoutOwner(Upstream&) -> RoomAcquisition;
    auto reportEnd(const UpstreamPointer&, RoomRequestId, const VmName& owner, RoomEnd) -> void;
    auto sendReport(UpstreamPointer, RoomRequestId, VmName owner, RoomEnd) -> Awaitable<void>;

    Executor m_executor;
    const RelaySettings& m_settings;
    RelayBoard& m_board;
    PeerSocket& m_socket;
    Incarnation m_incarnation;
    std::function<bool()> m_isReady = [] { return false; };
    ShardOwnership m_ownership;
    PendingAnswers<RoomAnswer> m_pendingAnswers;
    PendingAnswers<bool> m_pendingReceipts; // By the number of the request.
    std::mt19937 m_random;
};

} // namespace marigoldladder::relay
