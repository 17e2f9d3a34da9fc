// Gossip: each round a node exchanges what it knows with one peer, so that news reaches every node in a
// number of rounds that grows with the logarithm of the fleet, at a cost that does not grow with it.
//
// The exchange is also the probe of that peer: peers take turns in an order shuffled anew each time. One that
// does not answer, neither on a new connection nor through other nodes, becomes suspect.
#pragma once

#include "core/blackboard.h"
#include "fleet/peer_links.h"

#include <random>
#include <vector>

namespace marigoldladder {

// The time between two rounds of a node.
inline constexpr auto gossipPeriod = std::chrono::milliseconds(200);

// The most records of recent changes in one message, and how long a change counts as recent.
inline constexpr auto maxGossipNews = std::size_t { 4 };
inline constexpr auto gossipNewsLifetime = std::chrono::milliseconds(4000);

// Further records in one message, drawn at random, by which nodes that missed some news catch up.
inline constexpr auto gossipSamples = std::size_t { 1 };

// The most records in one message: this node's own and the receiver's come on top.
inline constexpr auto maxGossipMembers = maxGossipNews + gossipSamples + 2;

// Writes what this node tells a peer: its own record, recent changes, a sample, what it believes of the
// peer itself unless that is alive, its revision and its pending notes.
auto makeGossip(const Blackboard&, const VmName& self, const VmName& peer, std::mt19937_64&) -> wire::GossipT;

// Takes in what a peer told.
auto mergeGossip(Blackboard&, const VmName& self, const wire::GossipT&) -> void;

// Answers a peer's gossip with this node's own.
auto handleGossip(Blackboard&, const VmName& self, const std::shared_ptr<PeerConnection>&,
    const wire::EnvelopeT&, std::mt19937_64&) -> void;

// What a node's gossip keeps from round to round.
struct GossipState {
    std::mt19937_64 m_random { std::random_device()() };
    std::vector<VmName> m_turns; // Peers still to be probed in this pass, the next one last.
    std::uint64_t m_round = 0;
};

// Returns the peer to probe in this round, empty when there is none. Suspects have every fifth round.
auto nextProbeTarget(GossipState&, const Membership&, const VmName& self) -> VmName;

// Exchanges gossip over the link; false when no answer came in time.
auto exchangeGossip(Blackboard&, PeerLink&, const VmName& self, std::mt19937_64&) -> bool;

// Raises this node's heartbeat, probes the next peer and exchanges gossip with it. A node that has heard of
// no peer asks its seed peers.
auto gossipRound(Blackboard&, PeerLinks&, const NodeSettings&, GossipState&) -> void;

// Tells a few peers at once of this node's own record, without waiting for its rounds.
auto announceSelf(Blackboard&, PeerLinks&, const VmName& self, std::mt19937_64&) -> void;

} // namespace marigoldladder
