#include "routing/ownership.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto leastRenewalPeriod = std::chrono::milliseconds(2000);
    constexpr auto renewalsPerSecondOfFleet = std::size_t { 40 };
    constexpr auto renewalsPerLease = 3;
    constexpr auto millisecondsPerSecond = std::size_t { 1000 };

    // Whether the node is among those that may load adapters.
    auto mayOwnEngines(const OwnershipView& view, const VmName& vm) -> bool
    {
        auto rank = std::size_t { 0 };
        for (const auto& [other, member] : view.m_membership.m_members)
            rank += member.m_state != MemberState::Gone && other < vm ? 1 : 0;
        return rank < view.m_maxEngineOwners;
    }

    auto isCandidate(const OwnershipView& view, const Upstream& upstream, const Member& member) -> bool
    {
        const auto lease = view.m_leases.m_leases.find(member.m_vm);
        return member.m_state == MemberState::Alive && lease != view.m_leases.m_leases.end()
            && lease->second.m_record.m_holder.m_incarnation == member.m_incarnation
            && !hasLapsed(view.m_leases, member.m_vm)
            && (upstream.m_kind == UpstreamKind::Service || mayOwnEngines(view, member.m_vm));
    }

    // Returns the first in rank that `accepts` names, those of the upstream's data centre before others.
    template <typename Accepts>
    auto firstInRank(const OwnershipView& view, const Upstream& upstream, Accepts&& accepts) -> NodeStart
    {
        const Member* best = nullptr;
        auto bestRank = std::pair<bool, std::uint64_t>();
        for (const auto& [vm, member] : view.m_membership.m_members) {
            if (!accepts(member))
                continue;
            const auto rank = std::pair(member.m_dataCentre == upstream.m_dataCentre,
                rendezvousWeight(upstream.m_name.value(), vm.value()));
            if (best && rank <= bestRank)
                continue;
            best = &member;
            bestRank = rank;
        }
        return best ? NodeStart { best->m_vm, best->m_incarnation } : NodeStart();
    }

    auto contains(const std::vector<NodeStart>& starts, const NodeStart& start) -> bool
    {
        return std::find(starts.begin(), starts.end(), start) != starts.end();
    }

    auto ownerIsLost(const OwnershipView& view, const NodeStart& owner, MonotonicTime now) -> bool
    {
        const auto member = view.m_membership.m_members.find(owner.m_vm);
        if (member == view.m_membership.m_members.end() || member->second.m_state == MemberState::Gone)
            return true;
        if (member->second.m_incarnation > owner.m_incarnation)
            return true;
        const auto lease = view.m_leases.m_leases.find(owner.m_vm);
        const auto lapsed = lease == view.m_leases.m_leases.end()
            || now - lease->second.m_unchangedSince >= lease->second.m_record.m_duration + leaseMargin;
        return lapsed && member->second.m_state == MemberState::Suspect;
    }

} // namespace

auto leaseRenewalPeriod(std::size_t nodes) -> std::chrono::milliseconds
{
    const auto byBudget = std::chrono::milliseconds(nodes * millisecondsPerSecond / renewalsPerSecondOfFleet);
    return std::max(leastRenewalPeriod, byBudget);
}

auto leaseDuration(std::size_t nodes) -> std::chrono::milliseconds
{
    return leaseRenewalPeriod(nodes) * renewalsPerLease;
}

auto observeLeases(const ObservedLeases& before, const std::vector<LeaseRecord>& records,
    MonotonicTime readAt, MonotonicTime seenAt) -> ObservedLeases
{
    auto leases = ObservedLeases();
    leases.m_readAt = readAt;
    for (const auto& record : records) {
        const auto known = before.m_leases.find(record.m_holder.m_vm);
        const auto unchanged
            = known != before.m_leases.end() && known->second.m_record.m_version == record.m_version;
        leases.m_leases[record.m_holder.m_vm]
            = { record, unchanged ? known->second.m_unchangedSince : seenAt };
    }
    return leases;
}

auto hasLapsed(const ObservedLeases& leases, const VmName& vm) -> bool
{
    const auto found = leases.m_leases.find(vm);
    if (found == leases.m_leases.end())
        return true;
    const auto& lease = found->second;
    if (lease.m_record.m_ended)
        return true;
    return leases.m_readAt - lease.m_unchangedSince >= lease.m_record.m_duration + leaseMargin;
}

auto mayStillRun(const ObservedLeases& leases, const Membership& membership, const NodeStart& start) -> bool
{
    const auto lease = leases.m_leases.find(start.m_vm);
    if (lease == leases.m_leases.end())
        return false;
    const auto& record = lease->second.m_record;
    if (record.m_holder.m_incarnation > start.m_incarnation)
        return false;
    if (record.m_ended && record.m_holder == start)
        return false;
    const auto member = membership.m_members.find(start.m_vm);
    if (member == membership.m_members.end() || member->second.m_state != MemberState::Gone)
        return true;
    return member->second.m_incarnation < start.m_incarnation; // Only an earlier process is known to be gone.
}

auto desiredOwner(const OwnershipView& view, const Upstream& upstream) -> NodeStart
{
    return firstInRank(
        view, upstream, [&](const Member& member) { return isCandidate(view, upstream, member); });
}

auto decideOwnership(const OwnershipView& view, const Upstream& upstream,
    const std::optional<OwnershipRecord>& record) -> OwnershipStep
{
    const auto desired = desiredOwner(view, upstream);
    if (record && record->m_owner == view.m_self) {
        const auto passOn = !desired.m_vm.empty() && desired != view.m_self;
        return passOn ? OwnershipStep::HandOver : OwnershipStep::Leave;
    }
    const auto isFree = !record || record->m_owner.m_vm == view.m_self.m_vm
        || hasLapsed(view.m_leases, record->m_owner.m_vm)
        || !mayStillRun(view.m_leases, view.m_membership, record->m_owner);
    if (isFree && desired == view.m_self)
        return OwnershipStep::Take;
    if (record && contains(record->m_earlierOwners, view.m_self))
        return OwnershipStep::Acknowledge;
    return OwnershipStep::Leave;
}

auto takenRecord(const OwnershipView& view, const std::optional<OwnershipRecord>& before) -> OwnershipRecord
{
    auto record = before.value_or(OwnershipRecord());
    if (before)
        record.m_earlierOwners.push_back(before->m_owner);
    std::erase_if(record.m_earlierOwners, [&](const NodeStart& start) {
        return start == view.m_self || !mayStillRun(view.m_leases, view.m_membership, start);
    });
    record.m_owner = view.m_self;
    ++record.m_fencing;
    return record;
}

auto handedRecord(const OwnershipRecord& before, const NodeStart& next) -> OwnershipRecord
{
    auto record = acknowledgedRecord(before, next);
    record.m_owner = next;
    ++record.m_fencing;
    return record;
}

auto acknowledgedRecord(const OwnershipRecord& before, const NodeStart& start) -> OwnershipRecord
{
    auto record = before;
    std::erase(record.m_earlierOwners, start);
    return record;
}

auto isClear(const OwnershipView& view, const OwnershipRecord& record) -> bool
{
    return std::none_of(record.m_earlierOwners.begin(), record.m_earlierOwners.end(), [&](const auto& start) {
        return mayStillRun(view.m_leases, view.m_membership, start) && !hasLapsed(view.m_leases, start.m_vm);
    });
}

auto assignmentOf(const OwnershipView& view, const Upstream& upstream, const OwnershipRecord& record,
    const OwnerRights& rights, bool outage, MonotonicTime now) -> Assignment
{
    auto assignment = Assignment();
    assignment.m_fencing = record.m_fencing;
    assignment.m_owner = record.m_owner.m_vm;
    assignment.m_incarnation = record.m_owner.m_incarnation;
    if (record.m_owner == view.m_self) {
        const auto cleared = rights.m_cleared.find(upstream.m_name);
        assignment.m_servedHere = cleared != rights.m_cleared.end() && cleared->second == record.m_fencing;
        const auto pause = rights.m_noEvictionsBefore.find(upstream.m_name);
        const auto paused = pause != rights.m_noEvictionsBefore.end() && now < pause->second;
        const auto followed = std::any_of(record.m_earlierOwners.begin(), record.m_earlierOwners.end(),
            [&](const NodeStart& start) { return mayStillRun(view.m_leases, view.m_membership, start); });
        assignment.m_mayEvict = !paused && !followed;
        assignment.m_ordersUntil = rights.m_ordersUntil;
        return assignment;
    }
    if (outage && ownerIsLost(view, record.m_owner, now)) {
        const auto standIn = firstInRank(
            view, upstream, [](const Member& member) { return member.m_state == MemberState::Alive; });
        assignment.m_owner = standIn.m_vm;
        assignment.m_incarnation = standIn.m_incarnation;
        assignment.m_servedHere = standIn == view.m_self;
    }
    return assignment;
}

auto mayOrderEviction(const Assignment& assignment, MonotonicTime now) -> bool
{
    return assignment.m_servedHere && assignment.m_mayEvict && now < assignment.m_ordersUntil;
}

} // namespace marigoldladder
