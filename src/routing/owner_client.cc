#include "routing/owner_client.h"

#include <utility>

namespace marigoldladder {

OwnerClient::OwnerClient(Blackboard& blackboard, PeerLinks& links, Owner& owner, VmName self)
    : m_blackboard(blackboard)
    , m_links(links)
    , m_owner(owner)
    , m_self(std::move(self))
{
}

auto OwnerClient::start(const ServeCall& call) -> Result<OwnedCall>
{
    const auto owner = m_blackboard.m_assignments.read([&](const AssignmentTable& table) {
        const auto found = table.m_assignments.find(call.m_upstream);
        return found == table.m_assignments.end() ? VmName() : found->second.m_owner;
    });
    if (owner.empty())
        return notRun(FailureType::Unavailable, "no node owns the upstream " + call.m_upstream.value());
    if (owner == m_self)
        return startHere(call);
    return startAt(owner, call);
}

auto OwnerClient::startHere(const ServeCall& call) -> OwnedCall
{
    auto stream = std::make_shared<AnswerStream>();
    m_owner.serve(call, [stream](AnswerEvent event) { stream->push(std::move(event)); });
    return { stream, [this, id = call.m_requestId] { m_owner.cancel(id); } };
}

auto OwnerClient::startAt(const VmName& owner, const ServeCall& call) -> Result<OwnedCall>
{
    const auto link = m_links.to(owner);
    if (!link)
        return link.error();
    auto stream = std::make_shared<AnswerStream>();
    const auto takeAnswer = [stream](wire::EnvelopeT* envelope) {
        if (!envelope) {
            stream->push(
                failedEnd(mayHaveRun(FailureType::Unavailable, "the connection to the owner was lost")));
            return false;
        }
        const auto isEnd = envelope->body.type == wire::Body::ServeEnd;
        if (auto event = decodeAnswerEvent(*envelope))
            stream->push(std::move(*event));
        return !isEnd;
    };
    const auto correlation = link.value()->open(encodeServeCall(call), takeAnswer);
    if (!correlation)
        return mayHaveRun(FailureType::Unavailable, "the connection to the owner was lost");
    auto cancel = [peer = link.value(), number = *correlation, id = call.m_requestId] {
        auto message = wire::ServeCancelT();
        message.request_id = id.value();
        peer->send(number, std::move(message));
        peer->closeExchange(number);
    };
    return OwnedCall { stream, std::move(cancel) };
}

auto handleServeRequest(
    Owner& owner, const std::shared_ptr<PeerConnection>& connection, const wire::EnvelopeT& envelope) -> void
{
    const auto correlation = envelope.correlation;
    owner.serve(decodeServeCall(*envelope.body.AsServeRequest()),
        [connection, correlation](
            const AnswerEvent& event) { connection->send(encodeAnswerEvent(correlation, event)); });
}

} // namespace marigoldladder
