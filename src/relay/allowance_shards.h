// Divides an organisation's allowance into a few shards, each owned by one node of the fleet.
//
// An organisation's requests arrive at all nodes, at times at several times its rate, while nodes restart.
// Each shard is a token bucket with its share of rate and burst. A node charges a request to a shard by
// sending a charge request to the shard's owner, so the total stays within the limit for any number of nodes
// and however stale their view of each other. The loss of a node makes only its shards unavailable, and only
// until other nodes own them.
//
// Every node computes the owner of a shard from the nodes' names (rendezvous hashing); there is no election.
// A node that can reach only a share of the fleet scales its shards down to that share, so that the two sides
// of a network partition stay within the limit together.
#pragma once

#include "limits/token_bucket.h"
#include "relay/fleet_view.h"

#include <cstdint>
#include <map>
#include <utility>

namespace marigoldladder::relay {

// The bound on the tokens granted to one organisation in any window: burst plus rate times the window, plus
// `m_excess` as a share of that sum.
struct AllowanceBounds {
    std::chrono::seconds m_window { 8 };
    double m_excess = 0.1;
};

// This node as a candidate owner of shards.
struct ShardCandidate {
    VmName m_vm;
    double m_processorShare = 0; // In processor cores.
    bool m_ready = false; // It accepts requests and isn't leaving.
};

struct ShardId {
    std::uint32_t m_organisation = 0; // Short id.
    std::size_t m_shard = 0;
    auto operator<=>(const ShardId&) const = default; // NOLINT(modernize-use-nullptr): false positive.
};

// A shard that this node owns.
struct OwnedShard {
    TokenBucket m_bucket;
    std::uint64_t m_bucketId = 0; // Unique among all buckets, also those of earlier processes.
    MonotonicTime m_tokensReservedUntil {}; // When the tokens of refused requests are refilled.
};

struct OwnedShards {
    std::map<ShardId, OwnedShard> m_shards;
    std::uint64_t m_nextBucketId = 0; // Starts at an id that no earlier process has used.
    double m_reachableShare = 0; // Share of the fleet's nodes, as of the last update.
    BootClockTime m_updatedAt {};
};

// Returns the number of shards of the organisation's allowance. Small allowances have fewer, so that each
// shard can hold a few requests.
auto shardCount(const Organisation&) -> std::size_t;

// Returns the nodes that may own shards, in this node's view: the ready ones with the largest processor
// shares. Empty until this node knows the fleet.
auto shardCandidates(const FleetView&, const ShardCandidate& self, MonotonicTime now) -> std::vector<VmName>;

// Returns the candidate that owns the shard, or nothing if there are no candidates.
auto shardOwner(const std::vector<VmName>& candidates, const ShardId&) -> std::optional<VmName>;

// Returns the share of the fleet's nodes, this one included, that this node receives summaries from.
auto reachableShare(const FleetView&, MonotonicTime now) -> double;

// Determines which shards this node owns, and their size.
struct ShardContext {
    VmName m_self;
    std::vector<VmName> m_candidates;
    double m_reachableShare = 1;
    AllowanceBounds m_bounds;
    MonotonicTime m_now {};
    BootClockTime m_bootClockNow {};
};

// Takes over the shards that this node should own, and discards the others. A shard taken over starts nearly
// empty, since what its former owner granted may be unknown. After a pause of this process all shards start
// so, as other nodes may have owned them meanwhile. To be called several times a second.
auto updateOwnedShards(OwnedShards&, const std::vector<Organisation>&, const ShardContext&) -> void;

enum class ChargeOutcome {
    Granted,
    Refused, // The shard has too few tokens now.
    NotOwner, // This node doesn't own the shard, in its view of the fleet.
};

// The result of a charge. Bucket id and charge id identify it for a refund.
struct ShardCharge {
    ChargeOutcome m_outcome = ChargeOutcome::NotOwner;
    std::uint64_t m_bucketId = 0; // `OwnedShard::m_bucketId`.
    ChargeId m_charge = 0;
    Milliseconds m_retryAfter { 0 }; // If refused: until the shard has tokens for this request too.
};

// Charges a request to a shard that this node owns. A request larger than a shard is granted once the shard
// is full, and leaves it in debt. The retry times of refused requests are staggered at the shard's refill
// rate, so that they don't all retry at once.
auto chargeShard(OwnedShards&, const ShardId&, const Organisation&, double tokens, MonotonicTime now)
    -> ShardCharge;

// Refunds the tokens granted to a request that did not run. Does nothing if the shard's bucket has been
// replaced since.
auto refundShard(OwnedShards&, const ShardId&, std::uint64_t bucket, ChargeId, double tokens) -> void;

} // namespace marigoldladder::relay
