#include "fleet/member_record.h"

namespace marigoldladder {

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
    record->refutation = member.m_refutation;
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
    member.m_state = record.state <= static_cast<std::uint8_t>(MemberState::Joining)
        ? static_cast<MemberState>(record.state)
        : MemberState::Suspect;
    member.m_revision = record.revision;
    member.m_requestsInFlight = record.requests_in_flight;
    member.m_heartbeat = record.heartbeat;
    member.m_refutation = record.refutation;
    return member;
}

} // namespace marigoldladder
