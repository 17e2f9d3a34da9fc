// How the table of upstreams spreads from the few nodes that watch the platform's list to all the others,
// and to nodes that start while the platform can't be asked.
#pragma once

#include "core/blackboard.h"
#include "wire/peer_link.h"

namespace marigoldladder {

// The most records in one answer, unless more have the same version.
inline constexpr auto maxUpstreamRecords = std::size_t { 64 };

// Writes the records that changed after a version, in the order of their versions.
auto makeUpstreamsAnswer(const UpstreamTable&, std::uint64_t after) -> wire::UpstreamsAnswerT;

// Takes in the records that are newer than what is known.
auto mergeUpstreams(UpstreamTable&, const wire::UpstreamsAnswerT&) -> void;

// Fetches what the peer has beyond this node's table, a few answers at most; later rounds go on.
auto pullUpstreams(Blackboard&, PeerLink&, std::uint64_t peerVersion) -> void;

// Answers a peer's request.
auto handleUpstreamsRequest(const Blackboard&, const std::shared_ptr<PeerConnection>&, const wire::EnvelopeT&)
    -> void;

} // namespace marigoldladder
