// Gossip: each round a node exchanges what it knows with a few peers, so that news reaches every node in a
// number of rounds that grows with the logarithm of the fleet, at a cost that does not grow with it.
#pragma once

#include "core/blackboard.h"
#include "fleet/peer_links.h"

#include <random>

namespace marigoldladder {

// Peers asked in one round.
inline constexpr auto gossipFanout = std::size_t { 2 };

// The most member records in one message.
inline constexpr auto maxGossipMembers = std::size_t { 16 };

// Writes what this node tells a peer: its own record, some others, its revision and its pending notes.
auto makeGossip(const Blackboard&, const VmName& self, std::mt19937_64&) -> wire::GossipT;

// Takes in what a peer told.
auto mergeGossip(Blackboard&, const VmName& self, const wire::GossipT&) -> void;

// Answers a peer's gossip with this node's own.
auto handleGossip(Blackboard&, const VmName& self, const std::shared_ptr<PeerConnection>&,
    const wire::EnvelopeT&, std::mt19937_64&) -> void;

// Exchanges gossip with a few peers drawn at random.
auto gossipRound(Blackboard&, PeerLinks&, const VmName& self, std::mt19937_64&) -> void;

} // namespace marigoldladder
