// An organisation's allowance over all nodes, kept as a few parts by one node each.
//
// The load pattern it answers: an organisation's requests arrive at all nodes, at times several times its
// rate, while nodes restart. Each part is a token bucket with its share of rate and burst, and any node
// charges a request to a part by asking the node that keeps it. So the sum over all nodes holds however many
// they are and however old their figures of each other; one node's loss takes away one part for a moment
// only.
//
// Every node derives from the same names which node keeps a part; there is no election. A node that
// hears only some of the others keeps its parts at that share of their size, so that nodes that are cut off
// from each other hold the limit together.
#pragma once

#include "limits/token_bucket.h"
#include "relay/fleet_view.h"

#include <cstdint>
#include <map>
#include <utility>

namespace marigoldladder::relay {

// What one organisation's requests may come to in any window: burst and rate, and a share of these more.
struct AllowanceBounds {
    std::chrono::seconds m_window { 8 };
    double m_excess = 0.1;
};

// This node as others may choose it to keep parts.
struct ShardCandidate {
    VmName m_vm;
    double m_processorShare = 0; // Cores that it may use.
    bool m_ready = false; // It takes requests, and doesn't leave.
};

struct ShardId {
    std::uint32_t m_organisation = 0; // Short id.
    std::size_t m_shard = 0;
    auto operator<=>(const ShardId&) const = default; // NOLINT(modernize-use-nullptr): a false alarm.
};

// A part that this node keeps.
struct OwnedShard {
    TokenBucket m_bucket;
    std::uint64_t m_bucketId = 0; // Tells this bucket from all others, also of earlier processes.
    MonotonicTime
        m_tokensReservedUntil {}; // By then the tokens that refused requests asked for have come in.
};

struct OwnedShards {
    std::map<ShardId, OwnedShard> m_shards;
    std::uint64_t m_nextBucketId = 0; // Begins at a number that no earlier process has used.
    double m_reachableShare = 0; // Of all nodes, as of the last update.
    UninterruptedTime m_updatedAt {};
};

// Returns how many parts the organisation's allowance has: fewer if they would be too small for requests.
auto shardCount(const Organisation&) -> std::size_t;

// Returns the nodes that may keep parts, as far as this node knows: those with most processor time among the
// ready ones. Empty while this node doesn't know the fleet.
auto shardCandidates(const FleetView&, const ShardCandidate& self, MonotonicTime now) -> std::vector<VmName>;

// Returns which of the candidates keeps a part; nothing when there are none.
auto shardOwner(const std::vector<VmName>& candidates, const ShardId&) -> std::optional<VmName>;

// The share of all nodes that this node hears, itself included.
auto reachableShare(const FleetView&, MonotonicTime now) -> double;

// What decides which parts this node keeps, and at what size.
struct ShardContext {
    VmName m_self;
    std::vector<VmName> m_candidates;
    double m_reachableShare = 1;
    AllowanceBounds m_bounds;
    MonotonicTime m_now {};
    UninterruptedTime m_uninterrupted {};
};

// Takes over the parts that this node should keep, and drops the others. A part that it takes over starts
// nearly empty, as nobody may know what was spent; after a pause of this process all parts do. Call it often.
auto updateOwnedShards(OwnedShards&, const std::vector<Organisation>&, const ShardContext&) -> void;

enum class ChargeOutcome {
    Granted,
    Refused, // The part doesn't have the tokens now.
    NotOwner, // This node doesn't keep the part, as far as it knows.
};

// What was granted to a request, for its refund.
struct ShardCharge {
    ChargeOutcome m_outcome = ChargeOutcome::NotOwner;
    std::uint64_t m_bucketId = 0; // `OwnedShard::m_bucketId`.
    ChargeId m_charge = 0;
    Milliseconds m_retryAfter { 0 }; // When refused: until the part has the tokens, for this request too.
};

// Charges a request to a part that this node keeps. A request larger than a part is charged once the part is
// full. Refused requests are told to return one after the other, as the tokens for them come in.
auto chargeShard(OwnedShards&, const ShardId&, const Organisation&, double tokens, MonotonicTime now)
    -> ShardCharge;

// Gives back what a request was granted that did not run; nothing if the part changed hands since.
auto refundShard(OwnedShards&, const ShardId&, std::uint64_t bucket, ChargeId, double tokens) -> void;

} // namespace marigoldladder::relay
