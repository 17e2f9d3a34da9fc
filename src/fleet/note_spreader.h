// Spreads release notes between nodes, so that few of them have to ask the platform.
//
// Each node exchanges revisions with a fixed small set of neighbours: often while there is news, seldom
// else. Whichever side is behind fetches what it lacks. A node without a configuration asks peers for
// a whole one, seed peers if it knows no other, so that it can start while the platform is away.
#pragma once

#include "fleet/note_exchange.h"
#include "fleet/peer_links.h"

#include <atomic>
#include <random>

namespace marigoldladder {

// Neighbours in this node's own data centre, and in the whole fleet, besides the next node by name. Each node
// is the next of one other, so that no node is left out.
inline constexpr auto neighboursNearby = std::size_t { 3 };
inline constexpr auto neighboursAnywhere = std::size_t { 4 };

// How often a node exchanges revisions with one neighbour while there is no news. Gossip of members tells
// of newer revisions too, so that this is for what it misses.
inline constexpr auto quietNoteInterval = std::chrono::milliseconds(1500);

// Returns the peers that this node exchanges notes with: the same ones every time, as long as they live.
auto noteNeighbours(const Membership&, const VmName& self, const DataCentreName&) -> std::vector<VmName>;

// Its round is run by one thread; everything else is thread-safe.
class NoteSpreader {
public:
    NoteSpreader(Blackboard&, PeerLinks&, PeerIdentity, DataCentreName, std::vector<Address> seedPeers);

    // Exchanges notes with the peers whose turn it is. Answers are taken in as they come.
    auto round() -> void;

    // Answers a peer's request, and notes when that peer is ahead.
    auto handleRequest(const std::shared_ptr<PeerConnection>&, const wire::EnvelopeT&) -> void;

    // Hands the pending restrictions to neighbours at once; returns how many confirmed within the time.
    auto spreadPending(std::chrono::milliseconds atMost) -> std::size_t;

    // Rounds are frequent for a while from now on.
    auto noteNews() -> void;

private:
    auto askMember(const VmName&) -> void;
    auto ask(const std::shared_ptr<PeerLink>&) -> void;
    auto askForConfiguration() -> void;
    auto askSeeds() -> void;
    auto linkToSeed(const Address&) -> std::shared_ptr<PeerLink>;
    auto memberAhead() -> std::optional<VmName>;
    auto drawNeighbours(std::size_t count) -> std::vector<VmName>;

    Blackboard& m_blackboard;
    PeerLinks& m_links;
    PeerIdentity m_self;
    DataCentreName m_dataCentre;
    std::vector<Address> m_seedPeers;
    std::mt19937_64 m_random { std::random_device()() }; // Used by the round only.
    Section<std::optional<VmName>> m_ahead; // A peer that said it has a higher revision.
    std::atomic<MonotonicTime> m_newsAt { MonotonicTime() };
    MonotonicTime m_nextQuietRound {};
    Revision m_lastRevision = 0; // Used by the round only.
    std::map<Address, std::shared_ptr<PeerLink>> m_seedLinks; // Used by the round only. Last: they call back.
};

} // namespace marigoldladder
