#include "fleet/membership_controller.h"

#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto nodeKind = "nodes";

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
        member.m_dataCentre = DataCentreName(spec.value("data_centre", ""));
        member.m_incarnation = spec.value("incarnation", Incarnation { 0 });
        member.m_callerAddress = parseAddress(spec.value("caller_address", "")).value_or(Address {});
        member.m_peerAddress = parseAddress(spec.value("peer_address", "")).value_or(Address {});
        member.m_state = valueNamed(memberStateNames, spec.value("state", "")).value_or(MemberState::Alive);
        return member;
    }

} // namespace

auto publishMember(PlatformClient& platform, const Member& member) -> Result<void>
{
    while (true) {
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
    }
}

auto refreshMembership(Blackboard& blackboard, PlatformClient& platform, const VmName& self) -> Result<void>
{
    const auto list = platform.list(nodeKind);
    if (!list)
        return list.error();
    blackboard.m_membership.write([&](Membership& membership) {
        for (const auto& object : list.value().m_objects) {
            auto member = readMember(object);
            if (member.m_vm == self)
                continue;
            auto& known = membership.m_members[member.m_vm];
            if (member.m_incarnation > known.m_incarnation)
                known = std::move(member);
        }
    });
    return boost::outcome_v2::success();
}

} // namespace marigoldladder
