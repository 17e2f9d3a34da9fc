// Grants requests room at an upstream of a brittle pool, at the node that owns the upstream's room.
//
// Nodes learn each other's requests late, so many of them together could send an upstream far more than it
// has room for. One node therefore counts the requests at the upstream, and each request needs a grant of it,
// whose end is reported to it. Every node computes the owner from the nodes' names; there is no election.
//
// What the upstream has not been seen to take at a time is granted at a bounded rate, so that it refuses
// fewer requests than it bears.
#pragma once

#include "core/blackboard.h"
#include "relay/routing_configuration.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace marigoldladder::relay {

// Identifies a request for room among those of all nodes.
struct RoomRequestId {
    std::uint64_t m_asker = 0; // The incarnation of the node that sends the request.
    std::uint64_t m_number = 0; // Among that node's.
    auto operator==(const RoomRequestId&) const -> bool = default;
};

struct RoomGrant {
    RoomRequestId m_id;
    std::size_t m_atOnce = 0; // Requests at the upstream when it was granted, this one included; without
                              // those that turned out not to be there.
    MonotonicTime m_grantedAt {};
};

// What the owner of an upstream's room knows besides what it granted.
struct RoomState {
    std::size_t m_slots = 0; // That may be in use.
    std::size_t m_inFlight = 0; // As the nodes last reported it.
    Milliseconds m_reportDelay { 0 }; // Until a request shows up in these reports, at most.
    Milliseconds m_refusalInterval { 0 }; // Between two requests that the upstream may refuse, at least.
};

// What the owner of an upstream's room has granted, and has learnt of that room.
struct RoomLedger {
    bool m_isOwned = false;
    MonotonicTime m_askedAt {}; // When a node last requested room.
    MonotonicTime m_grantsFrom {}; // No grants before, as a former owner's aren't known yet.
    std::vector<RoomGrant> m_grants; // Oldest first; of requests whose end hasn't been reported.
    std::size_t m_otherRequests = 0; // That it didn't grant, at most.
    MonotonicTime m_othersCountedAt {};
    std::size_t m_taken = 0; // Requests that the upstream has been seen to take at a time.
    MonotonicTime m_triedAt {}; // When one more than these was granted.
    MonotonicTime m_closedUntil {}; // It refused a request.
    Milliseconds m_tryInterval { 0 }; // Grows while it refuses what is tried; zero: the least one.
    MonotonicTime m_reservedUntil {}; // When there may be room for the requests that found none.
    double m_meanTime = 0; // Of requests at the upstream, in seconds; zero: none has ended.
    RoomState m_state; // As of the last request for room.
};

enum class RoomOutcome {
    Granted,
    Full,
    NotOwner, // This node doesn't own the room, in its view of the fleet.
};

struct RoomAnswer {
    RoomOutcome m_outcome = RoomOutcome::NotOwner;
    Milliseconds m_retryAfter { 0 }; // If not granted.
};

// How a request ended that had been granted room.
enum class RoomEnd {
    Unknown, // It wasn't sent, or the upstream said nothing of its room.
    Taken,
    Refused, // For want of room.
};

// Records whether this node owns the upstream's room. A node that becomes its owner grants nothing until the
// nodes have reported what is in flight.
auto setRoomOwned(RoomLedger&, bool isOwned, Milliseconds reportDelay, MonotonicTime now) -> void;

// Grants a request room if there is any. The retry times of those that find none are staggered.
auto grantRoom(RoomLedger&, const RoomState&, RoomRequestId, MonotonicTime now) -> RoomAnswer;

// Records the end of a request. It has no effect for one that isn't known to have been granted room.
auto endGrant(RoomLedger&, RoomRequestId, RoomEnd, MonotonicTime now) -> void;

// Forgets the grants of nodes other than these: they have ended.
auto keepGrantsOf(RoomLedger&, const std::vector<std::uint64_t>& incarnations) -> void;

} // namespace marigoldladder::relay
