#include "routing/owner_client.h"

#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto resolveTimeout = std::chrono::milliseconds(1000);

    auto ownerLost() -> AnswerEnd
    {
        auto end = failedEnd(mayHaveRun(FailureType::Unavailable, "the connection to the owner was lost"));
        end.m_ownerLost = true;
        return end;
    }

} // namespace

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
        return notRun(FailureType::NotOwner, "no node owns the upstream " + call.m_upstream.value());
    if (owner == m_self)
        return startHere(call);
    return startAt(owner, call);
}

auto OwnerClient::startHere(const ServeCall& call) -> OwnedCall
{
    auto stream = std::make_shared<AnswerStream>();
    const auto id = attemptId(call);
    m_owner.serve(
        call, [stream](AnswerEvent event) { stream->push(std::move(event)); }, [] { return true; });
    return { stream, [this, id] { m_owner.cancel(id); }, [this, id] { return m_owner.resolve(id); } };
}

auto OwnerClient::startAt(const VmName& owner, const ServeCall& call) -> Result<OwnedCall>
{
    const auto link = m_links.to(owner);
    if (!link)
        return link.error();
    auto stream = std::make_shared<AnswerStream>();
    const auto takeAnswer = [stream](wire::EnvelopeT* envelope) {
        if (!envelope) {
            stream->push(ownerLost());
            return false;
        }
        const auto isEnd = envelope->body.type == wire::Body::ServeEnd;
        if (auto event = decodeAnswerEvent(*envelope))
            stream->push(std::move(*event));
        return !isEnd;
    };
    const auto id = attemptId(call);
    const auto correlation = link.value()->open(encodeServeCall(call), takeAnswer);
    if (!correlation)
        stream->push(ownerLost());
    auto cancel = [peer = link.value(), number = correlation.value_or(0), id] {
        auto message = wire::ServeCancelT();
        message.request_id = id.value();
        peer->send(number, std::move(message));
        peer->closeExchange(number);
    };
    auto resolveCall = [this, owner, incarnation = link.value()->peerIncarnation(), id] {
        return resolve(owner, incarnation, id);
    };
    return OwnedCall { stream, std::move(cancel), std::move(resolveCall) };
}

// Only the process that was sent the call can tell; one started since knows nothing of it.
auto OwnerClient::resolve(const VmName& owner, Incarnation incarnation, const RequestId& attempt) -> Verdict
{
    const auto link = m_links.to(owner);
    if (!link || link.value()->peerIncarnation() != incarnation)
        return Verdict::MayHaveRun;
    auto message = wire::ResolveRequestT();
    message.request_id = attempt.value();
    auto answer = link.value()->call(std::move(message), resolveTimeout);
    const auto* told = answer ? answer.value().body.AsResolveAnswer() : nullptr;
    const auto unrun = told && told->verdict == static_cast<std::uint8_t>(Verdict::NotRun);
    return unrun ? Verdict::NotRun : Verdict::MayHaveRun;
}

auto handleServeRequest(
    Owner& owner, const std::shared_ptr<PeerConnection>& connection, const wire::EnvelopeT& envelope) -> void
{
    const auto correlation = envelope.correlation;
    owner.serve(
        decodeServeCall(*envelope.body.AsServeRequest()),
        [connection, correlation](
            const AnswerEvent& event) { connection->send(encodeAnswerEvent(correlation, event)); },
        [connection] { return connection->alive(); });
}

auto handleResolveRequest(
    Owner& owner, const std::shared_ptr<PeerConnection>& connection, const wire::EnvelopeT& envelope) -> void
{
    const auto verdict = owner.resolve(RequestId(envelope.body.AsResolveRequest()->request_id));
    auto answer = wire::ResolveAnswerT();
    answer.verdict = static_cast<std::uint8_t>(verdict);
    connection->send(makeEnvelope(envelope.correlation, answer));
}

} // namespace marigoldladder
