#include "fleet/gossip.h"

#include <algorithm>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto gossipTimeout = std::chrono::milliseconds(300);

    auto encodeMember(const Member& member) -> std::unique_ptr<wire::MemberRecordT>
    {
        auto record = std::make_unique<wire::MemberRecordT>();
        record->vm = member.m_vm.value();
        record->data_centre = member.m_dataCentre.value();
        record->incarnation = member.m_incarnation;
        record->caller_address = formatAddress(member.m_callerAddress);
        record->peer_address = formatAddress(member.m_peerAddress);
        record->state = static_cast<std::uint8_t>(member.m_state);
        record->revision = member.m_revision;
        record->requests_in_flight = member.m_requestsInFlight;
        record->heartbeat = member.m_heartbeat;
        return record;
    }

    auto decodeMember(const wire::MemberRecordT& record) -> Member
    {
        auto member = Member();
        member.m_vm = VmName(record.vm);
        member.m_dataCentre = DataCentreName(record.data_centre);
        member.m_incarnation = record.incarnation;
        member.m_callerAddress = parseAddress(record.caller_address).value_or(Address {});
        member.m_peerAddress = parseAddress(record.peer_address).value_or(Address {});
        member.m_state = record.state <= static_cast<std::uint8_t>(MemberState::Gone)
            ? static_cast<MemberState>(record.state)
            : MemberState::Suspect;
        member.m_revision = record.revision;
        member.m_requestsInFlight = record.requests_in_flight;
        member.m_heartbeat = record.heartbeat;
        return member;
    }

    auto isNewer(const Member& told, const Member& known) -> bool
    {
        if (told.m_incarnation != known.m_incarnation)
            return told.m_incarnation > known.m_incarnation;
        return told.m_heartbeat > known.m_heartbeat;
    }

    auto peersOf(const Membership& membership, const VmName& self) -> std::vector<VmName>
    {
        auto peers = std::vector<VmName>();
        for (const auto& [vm, member] : membership.m_members) {
            if (vm != self && member.m_state != MemberState::Gone)
                peers.push_back(vm);
        }
        return peers;
    }

} // namespace

auto makeGossip(const Blackboard& blackboard, const VmName& self, std::mt19937_64& random) -> wire::GossipT
{
    auto gossip = wire::GossipT();
    gossip.revision
        = blackboard.m_configuration.read([](const Configuration& value) { return value.m_revision; });
    const auto inFlight
        = blackboard.m_health.read([](const NodeHealth& value) { return value.m_requestsInFlight; });
    const auto membership = blackboard.m_membership.copy();
    auto others = peersOf(membership, self);
    std::shuffle(others.begin(), others.end(), random);
    others.resize(std::min(others.size(), maxGossipMembers - 1));
    others.push_back(self);
    for (const auto& vm : others) {
        auto record = encodeMember(membership.m_members.at(vm));
        if (vm == self) {
            record->revision = gossip.revision;
            record->requests_in_flight = inFlight;
        }
        gossip.members.push_back(std::move(record));
    }
    return gossip;
}

auto mergeGossip(Blackboard& blackboard, const VmName& self, const wire::GossipT& gossip) -> void
{
    const auto now = std::chrono::steady_clock::now();
    blackboard.m_membership.write([&](Membership& membership) {
        for (const auto& record : gossip.members) {
            auto told = decodeMember(*record);
            if (told.m_vm == self)
                continue;
            auto& known = membership.m_members[told.m_vm];
            if (!isNewer(told, known))
                continue;
            known = std::move(told);
            known.m_heardAt = now;
        }
    });
}

auto handleGossip(Blackboard& blackboard, const VmName& self,
    const std::shared_ptr<PeerConnection>& connection, const wire::EnvelopeT& envelope,
    std::mt19937_64& random) -> void
{
    mergeGossip(blackboard, self, *envelope.body.AsGossip());
    auto own = makeGossip(blackboard, self, random);
    auto answer = wire::GossipAnswerT();
    answer.members = std::move(own.members);
    answer.revision = own.revision;
    answer.pending = std::move(own.pending);
    connection->send(makeEnvelope(envelope.correlation, std::move(answer)));
}

auto gossipRound(Blackboard& blackboard, PeerLinks& links, const VmName& self, std::mt19937_64& random)
    -> void
{
    blackboard.m_membership.write([&](Membership& membership) {
        auto& own = membership.m_members[self];
        ++own.m_heartbeat;
        own.m_heardAt = std::chrono::steady_clock::now();
    });
    auto peers = peersOf(blackboard.m_membership.copy(), self);
    std::shuffle(peers.begin(), peers.end(), random);
    peers.resize(std::min(peers.size(), gossipFanout));
    for (const auto& vm : peers) {
        const auto link = links.to(vm);
        if (!link)
            continue;
        auto answer = link.value()->call(makeGossip(blackboard, self, random), gossipTimeout);
        auto* told = answer ? answer.value().body.AsGossipAnswer() : nullptr;
        if (!told)
            continue;
        auto gossip = wire::GossipT();
        gossip.members = std::move(told->members);
        mergeGossip(blackboard, self, gossip);
    }
}

} // namespace marigoldladder
