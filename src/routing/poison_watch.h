// Keeps this node's knowledge of requests that crash upstreams and shares it with all nodes.
#pragma once

#include "fleet/peer_links.h"
#include "routing/poison.h"

#include <mutex>

namespace marigoldladder {

// Thread-safe.
class PoisonWatch {
public:
    PoisonWatch(Blackboard&, PeerLinks&, VmName self);

    // Fingerprint 0 stands for requests that are not watched; it is always clean.
    auto stateOf(std::uint64_t fingerprint) const -> PoisonState;

    // Returns the number of events after which a suspect that still runs is cleared.
    auto clearingProgressOf(std::uint64_t fingerprint) const -> std::uint32_t;

    // Enters that an upstream crashed under a request, and returns once the other nodes know it too, so that
    // copies of the request on several nodes together cost no more upstreams than one does. Nodes that don't
    // answer are waited for only briefly.
    auto reportCrash(std::uint64_t fingerprint, std::uint32_t progress) -> void;

    // Takes back the suspicion of a request that got past the point of the crash.
    auto reportCleared(std::uint64_t fingerprint) -> void;

    // Enters what a peer reports, and acknowledges it.
    auto handleNotice(const std::shared_ptr<PeerConnection>&, const wire::EnvelopeT&) -> void;

private:
    struct Acknowledgements;

    auto tellPeers(std::uint64_t fingerprint, const CrashReport&) -> std::shared_ptr<Acknowledgements>;

    Blackboard& m_blackboard;
    PeerLinks& m_links;
    VmName m_self;
    mutable std::mutex m_mutex;
    PoisonTable m_table;
};

} // namespace marigoldladder
