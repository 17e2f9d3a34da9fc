// Keeps to the rate of requests that an overloaded upstream accepts from all nodes together.
//
// The rate is divided into a few shards, each a token bucket that one node owns. Every node computes the
// owners from the nodes' names; there is no election. A node sends a request to a limited upstream only with
// a permit of a shard's owner, so the total stays within the limit for any number of nodes, wherever requests
// arrive. The shards of an upstream have different owners: a node that some of the others don't see adds one
// shard at most.
//
// A limit ends only when an answer shows that the upstream names none any more.
#pragma once

#include "relay/fleet_view.h"
#include "relay/report_source.h"

#include <array>
#include <optional>
#include <vector>

namespace marigoldladder::relay {

// A limit that an upstream named, or that it no longer names one, as of an answer.
struct NamedLimit {
    std::optional<double> m_requestsPerSecond; // Nothing: no limit.
    // When the upstream named it, at the latest; or named none, at the earliest. Zero: never.
    MonotonicTime m_namedAt {};
    ReportSource m_source = ReportSource::Self;
};

// A shard of a limit, at the node that owns it.
struct LimitShard {
    bool m_isOwned = false; // By this node.
    double m_permits = 0; // That it had left when it was refilled; at most one.
    MonotonicTime m_refilledAt {};
    MonotonicTime m_reservedUntil {}; // When the permits of requests that were refused have been refilled.
};

inline constexpr auto maxLimitShards = std::size_t { 3 };

// What a node knows of an upstream's limit, and its part in keeping it.
struct LimitState {
    NamedLimit m_limit;
    std::array<LimitShard, maxLimitShards> m_shards;
    MonotonicTime m_closedUntil {}; // This node gets no permit before.
    bool m_isAsking = false; // This node has asked for a permit.
};

// The answer to a request for a permit.
struct LimitPermit {
    bool m_isGranted = false;
    std::chrono::milliseconds m_retryAfter { 0 }; // If not granted.
};

// News on a limit is reported to other nodes for this time.
inline constexpr auto limitReportTime = std::chrono::milliseconds(10'000);

// Records the limit of an answer, unless a newer one is known; an answer without a limit counts only after
// one with a limit. Returns whether the limit begins, ends or changes notably.
auto recordLimit(LimitState&, const NamedLimit&) -> bool;

// Whether the upstream names a limit, as far as this node knows.
auto isLimited(const LimitState&) -> bool;

// Returns into how many shards a limit is divided; each is large enough to be of use.
auto limitShardCount(double requestsPerSecond) -> std::size_t;

// Returns the candidate that owns a shard of the upstream's limit; nothing if there are too few candidates.
auto limitShardOwner(const std::vector<VmName>& candidates, const UpstreamName&, std::size_t shard)
    -> std::optional<VmName>;

// Records whether this node owns the shard. A node that becomes its owner starts without permits, since those
// of the former owner are unknown.
auto setShardOwned(LimitShard&, bool isOwned, MonotonicTime now) -> void;

// Grants a permit of one of the limit's shards, if this node owns it and it has one. `fleetShare` is the
// share of the fleet that this node reaches: the two sides of a network partition stay within the limit
// together. The retry times of refused requests are staggered.
auto grantPermit(LimitState&, std::size_t shard, double fleetShare, MonotonicTime now) -> LimitPermit;

} // namespace marigoldladder::relay
