#include "routing/ownership_controller.h"

#include "routing/rendezvous.h"

#include <utility>

namespace marigoldladder {

namespace {

    auto chooseOwner(const Membership& membership, const UpstreamName& upstream) -> Assignment
    {
        auto best = Assignment();
        auto bestWeight = std::uint64_t { 0 };
        for (const auto& [vm, member] : membership.m_members) {
            if (member.m_state != MemberState::Alive)
                continue;
            const auto weight = rendezvousWeight(upstream.value(), vm.value());
            if (!best.m_owner.empty() && weight <= bestWeight)
                continue;
            best = { vm, member.m_incarnation, 1, true };
            bestWeight = weight;
        }
        return best;
    }

} // namespace

auto refreshAssignments(Blackboard& blackboard) -> void
{
    const auto membership = blackboard.m_membership.copy();
    const auto upstreams = blackboard.m_upstreams.copy();
    auto table = AssignmentTable();
    for (const auto& [name, upstream] : upstreams.m_upstreams)
        table.m_assignments.emplace(name, chooseOwner(membership, name));
    blackboard.m_assignments.write([&](AssignmentTable& value) { value = std::move(table); });
}

} // namespace marigoldladder
