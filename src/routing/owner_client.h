// The entry's way to the owner of an upstream, be it this node or a peer.
#pragma once

#include "fleet/peer_links.h"
#include "routing/answer_stream.h"
#include "routing/owner.h"

#include <functional>
#include <memory>

namespace marigoldladder {

// A call that was handed to an owner.
struct OwnedCall {
    std::shared_ptr<AnswerStream> m_answer;
    std::function<void()> m_cancel; // Tells the owner that nobody waits any longer.
    std::function<Verdict()>
        m_resolve; // Asks the owner, over a new connection, whether the call may have run.
};

class OwnerClient {
public:
    OwnerClient(Blackboard&, PeerLinks&, Owner&, VmName self);

    // Hands the call to the owner of its upstream. Fails with `NotRun` when no owner can be reached.
    auto start(const ServeCall&) -> Result<OwnedCall>;

private:
    auto startHere(const ServeCall&) -> OwnedCall;
    auto startAt(const VmName& owner, const ServeCall&) -> Result<OwnedCall>;
    auto resolve(const VmName& owner, Incarnation, const RequestId& attempt) -> Verdict;

    Blackboard& m_blackboard;
    PeerLinks& m_links;
    Owner& m_owner;
    VmName m_self;
};

// Serves calls that peers send to this node's owner role.
auto handleServeRequest(Owner&, const std::shared_ptr<PeerConnection>&, const wire::EnvelopeT&) -> void;

// Answers a peer that asks what became of a call.
auto handleResolveRequest(Owner&, const std::shared_ptr<PeerConnection>&, const wire::EnvelopeT&) -> void;

} // namespace marigoldladder
