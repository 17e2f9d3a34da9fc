// Carries tokens of allowances between nodes.
#pragma once

#include "fleet/peer_links.h"
#include "limits/allowance.h"

namespace marigoldladder {

// Makes the transport that asks peers over their links. An answer that is late is no answer.
auto makeTokenTransport(PeerLinks&) -> TokenTransport;

// Answers a peer that asks for tokens.
auto handleTokenRequest(Allowance&, const std::shared_ptr<PeerConnection>&, const wire::EnvelopeT&) -> void;

// Takes in what a peer gives back.
auto handleTokenReturn(Allowance&, const wire::EnvelopeT&) -> void;

} // namespace marigoldladder
