// This node's connections to its peers, opened when first needed and again when lost.
#pragma once

#include "core/blackboard.h"
#include "wire/peer_link.h"

#include <chrono>
#include <map>
#include <memory>
#include <mutex>

namespace marigoldladder {

// How long a link may go unused before it is closed: in a large fleet a node talks to most peers rarely.
inline constexpr auto linkIdleBound = std::chrono::milliseconds(1000);

class PeerLinks {
public:
    PeerLinks(Blackboard&, PeerIdentity);

    // Returns a live link to the node, connecting if there is none. Fails with `NotRun`.
    auto to(const VmName&, std::chrono::milliseconds timeout = handshakeTimeout)
        -> Result<std::shared_ptr<PeerLink>>;

    // Returns the live link to the node, or null when there is none.
    auto existing(const VmName&) -> std::shared_ptr<PeerLink>;

    // Opens a new link whether or not there is one; the old one is dropped by its last user.
    auto reconnect(const VmName&, std::chrono::milliseconds timeout = handshakeTimeout)
        -> Result<std::shared_ptr<PeerLink>>;

    // Opens a link to whichever node listens at the address.
    auto toAddress(const Address&) -> Result<std::shared_ptr<PeerLink>>;

    // Closes links that are lost, or that nobody used for a while and that have nothing in progress.
    auto dropIdle() -> void;

private:
    struct HeldLink {
        std::shared_ptr<PeerLink> m_link;
        MonotonicTime m_usedAt;
    };

    auto hold(const std::shared_ptr<PeerLink>&) -> void;

    Blackboard& m_blackboard;
    PeerIdentity m_self;
    std::mutex m_mutex;
    std::map<VmName, HeldLink> m_links;
};

} // namespace marigoldladder
