// This node's connections to its peers, opened when first needed and again when lost.
#pragma once

#include "core/blackboard.h"
#include "wire/peer_link.h"

#include <map>
#include <memory>
#include <mutex>

namespace marigoldladder {

class PeerLinks {
public:
    PeerLinks(Blackboard&, PeerIdentity);

    // Returns a live link to the node, connecting if there is none. Fails with `NotRun`.
    auto to(const VmName&) -> Result<std::shared_ptr<PeerLink>>;

    // Opens a new link whether or not there is one; the old one is dropped by its last user.
    auto reconnect(const VmName&) -> Result<std::shared_ptr<PeerLink>>;

private:
    Blackboard& m_blackboard;
    PeerIdentity m_self;
    std::mutex m_mutex;
    std::map<VmName, std::shared_ptr<PeerLink>> m_links;
};

} // namespace marigoldladder
