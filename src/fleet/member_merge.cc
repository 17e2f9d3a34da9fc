#include "fleet/member_merge.h"

#include <algorithm>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto goneKeptFor = std::chrono::minutes(10);

    // Orders states that are told at the same refutation number.
    auto gravityOf(MemberState state) -> int
    {
        switch (state) {
        case MemberState::Joining:
        case MemberState::Alive:
            return 0;
        case MemberState::Draining:
            return 1;
        case MemberState::Suspect:
            return 2;
        case MemberState::Gone:
            return 3;
        }
        return 0;
    }

    // Answers a suspicion against this node by a record that outweighs it.
    auto refute(Member& own, const Member& told, MonotonicTime now) -> void
    {
        const auto aboutThisProcess = told.m_incarnation == own.m_incarnation;
        if (!aboutThisProcess || told.m_state != MemberState::Suspect || told.m_refutation < own.m_refutation)
            return;
        own.m_refutation = told.m_refutation + 1;
        own.m_changedAt = now;
    }

    auto replaceMember(Member& known, Member told, MonotonicTime now) -> void
    {
        known = std::move(told);
        known.m_heardAt = now;
        known.m_changedAt = now;
    }

    auto changeState(Member& member, MemberState state, MonotonicTime now) -> void
    {
        member.m_state = state;
        member.m_changedAt = now;
    }

} // namespace

auto outweighs(const Member& told, const Member& known) -> bool
{
    if (known.m_state == MemberState::Gone)
        return false;
    if (told.m_state == MemberState::Gone)
        return true;
    if (told.m_refutation != known.m_refutation)
        return told.m_refutation > known.m_refutation;
    return gravityOf(told.m_state) > gravityOf(known.m_state);
}

auto mergeMember(Membership& membership, const VmName& self, Member told, MonotonicTime now) -> void
{
    auto& members = membership.m_members;
    const auto found = members.find(told.m_vm);
    if (told.m_vm == self) {
        if (found != members.end())
            refute(found->second, told, now);
        return;
    }
    if (found == members.end()) {
        if (told.m_state != MemberState::Gone && !told.m_vm.empty())
            replaceMember(members[told.m_vm], told, now);
        return;
    }
    auto& known = found->second;
    if (told.m_incarnation > known.m_incarnation) {
        replaceMember(known, std::move(told), now);
        return;
    }
    if (told.m_incarnation < known.m_incarnation)
        return;
    if (outweighs(told, known)) {
        known.m_refutation = told.m_refutation;
        changeState(known, told.m_state, now);
    }
    if (told.m_heartbeat > known.m_heartbeat) {
        known.m_heartbeat = told.m_heartbeat;
        known.m_revision = told.m_revision;
        known.m_requestsInFlight = told.m_requestsInFlight;
        known.m_heardAt = now;
    }
}

auto mergeListedMember(Membership& membership, const VmName& self, Member listed) -> void
{
    if (listed.m_vm == self)
        return;
    auto& known = membership.m_members[listed.m_vm];
    if (listed.m_incarnation > known.m_incarnation)
        known = std::move(listed);
}

auto suspectMember(Membership& membership, const VmName& vm, MonotonicTime now) -> void
{
    const auto found = membership.m_members.find(vm);
    if (found == membership.m_members.end())
        return;
    auto& member = found->second;
    if (member.m_state != MemberState::Suspect && member.m_state != MemberState::Gone)
        changeState(member, MemberState::Suspect, now);
}

auto markMemberGone(Membership& membership, const VmName& vm, MonotonicTime now) -> void
{
    const auto found = membership.m_members.find(vm);
    if (found != membership.m_members.end() && found->second.m_state != MemberState::Gone)
        changeState(found->second, MemberState::Gone, now);
}

auto forgetGoneMembers(Membership& membership, MonotonicTime now) -> void
{
    std::erase_if(membership.m_members, [&](const auto& entry) {
        const auto& member = entry.second;
        return member.m_state == MemberState::Gone && now - member.m_changedAt > goneKeptFor;
    });
}

auto hasHeardOfPeers(const Membership& membership, const VmName& self) -> bool
{
    return std::any_of(membership.m_members.begin(), membership.m_members.end(), [&](const auto& entry) {
        const auto& [vm, member] = entry;
        return vm != self && member.m_state == MemberState::Alive && member.m_heardAt != MonotonicTime();
    });
}

} // namespace marigoldladder
