#include "fleet/membership_controller.h"

#include "core/json_fields.h"
#include "fleet/member_merge.h"

#include <algorithm>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto nodeKind = "nodes";
    constexpr auto publishAttempts = 5;
    constexpr auto loneListPause = std::chrono::milliseconds(2000);

    auto writeMember(const Member& member) -> nlohmann::json
    {
        return {
            { "data_centre", member.m_dataCentre.value() },
            { "incarnation", member.m_incarnation },
            { "caller_address", formatAddress(member.m_callerAddress) },
            { "peer_address", formatAddress(member.m_peerAddress) },
            { "state", nameOf(memberStateNames, member.m_state) },
        };
    }

    auto readMember(const PlatformObject& object) -> Member
    {
        const auto& spec = object.m_spec;
        auto member = Member();
        member.m_vm = VmName(object.m_name);
        member.m_dataCentre = DataCentreName(textOr(spec, "data_centre", ""));
        member.m_incarnation = countOr(spec, "incarnation", 0);
        member.m_callerAddress = parseAddress(textOr(spec, "caller_address", "")).value_or(Address {});
        member.m_peerAddress = parseAddress(textOr(spec, "peer_address", "")).value_or(Address {});
        member.m_state = valueNamed(memberStateNames, textOr(spec, "state", "")).value_or(MemberState::Alive);
        return member;
    }

} // namespace

auto publishMember(PlatformClient& platform, const Member& member) -> Result<void>
{
    auto last = notRun(FailureType::Conflict, "the record kept changing");
    for (auto i = 0; i < publishAttempts; ++i) {
        const auto found = platform.get(nodeKind, member.m_vm.value());
        if (!found)
            return found.error();
        auto written = Result<PlatformObject>(Failure {});
        if (found.value()) {
            auto object = *found.value();
            object.m_spec = writeMember(member);
            written = platform.update(nodeKind, object);
        } else {
            written = platform.create(nodeKind, member.m_vm.value(), writeMember(member));
        }
        if (written)
            return boost::outcome_v2::success();
        if (written.error().m_type != FailureType::Conflict)
            return written.error();
        last = written.error();
    }
    return last;
}

auto withdrawMember(PlatformClient& platform, const Member& member) -> Result<void>
{
    const auto found = platform.get(nodeKind, member.m_vm.value());
    if (!found)
        return found.error();
    if (!found.value() || readMember(*found.value()).m_incarnation != member.m_incarnation)
        return boost::outcome_v2::success();
    return platform.remove(nodeKind, member.m_vm.value());
}

auto refreshMembership(Blackboard& blackboard, PlatformClient& platform, const VmName& self) -> Result<void>
{
    const auto list = platform.list(nodeKind);
    if (!list)
        return list.error();
    blackboard.m_membership.write([&](Membership& membership) {
        for (const auto& object : list.value().m_objects)
            mergeListedMember(membership, self, readMember(object));
    });
    return boost::outcome_v2::success();
}

auto followMembers(
    Blackboard& blackboard, PlatformClient& platform, const VmName& self, MembershipState& state) -> void
{
    if (std::chrono::steady_clock::now() < state.m_notBefore)
        return;
    const auto membership = blackboard.m_membership.copy();
    if (state.m_published && state.m_listed && hasHeardOfPeers(membership, self))
        return;
    auto done = state.m_published ? Result<void>(boost::outcome_v2::success())
                                  : publishMember(platform, membership.m_members.at(self));
    state.m_published = done.has_value();
    if (done)
        done = refreshMembership(blackboard, platform, self);
    state.m_listed = state.m_listed || done.has_value();
    auto pause = loneListPause;
    if (done)
        noteSuccess(state.m_backoff);
    else
        pause = waitAfterFailure(state.m_backoff, state.m_random);
    state.m_notBefore = std::chrono::steady_clock::now() + pause;
}

} // namespace marigoldladder
