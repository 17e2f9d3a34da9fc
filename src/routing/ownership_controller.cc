#include "routing/ownership_controller.h"

#include "core/log.h"

#include <algorithm>
#include <set>
#include <thread>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto leavePoll = std::chrono::milliseconds(50);

    // Nodes read what is agreed this many times in one renewal period.
    constexpr auto readsPerRenewal = 4;

    auto now() -> MonotonicTime
    {
        return std::chrono::steady_clock::now();
    }

    auto liveNodes(const Membership& membership) -> std::size_t
    {
        const auto count = std::count_if(membership.m_members.begin(), membership.m_members.end(),
            [](const auto& row) { return row.second.m_state != MemberState::Gone; });
        return static_cast<std::size_t>(std::max<std::ptrdiff_t>(count, 1));
    }

    auto dataCentresOf(const UpstreamTable& upstreams) -> std::set<DataCentreName>
    {
        auto dataCentres = std::set<DataCentreName>();
        for (const auto& [name, upstream] : upstreams.m_upstreams)
            dataCentres.insert(upstream.m_dataCentre);
        return dataCentres;
    }

} // namespace

OwnershipController::OwnershipController(Blackboard& blackboard, PlatformClient& platform,
    AdapterManager& adapters, NodeStart self, const NodeSettings& settings)
    : m_blackboard(blackboard)
    , m_platform(platform)
    , m_adapters(adapters)
    , m_self(std::move(self))
    , m_requestDeadline(settings.m_limits.m_requestDeadline)
    , m_weightStore(settings.m_weightStore)
    , m_ownerRole(settings.m_ownerRole)
{
}

auto OwnershipController::refresh() -> void
{
    if (m_ownerRole)
        renewIfDue();
    const auto upstreams = m_blackboard.m_upstreams.copy();
    const auto due = now() >= m_nextRead;
    const auto reachable = !due || readAll();
    auto reopened = std::vector<UpstreamName>();
    if (due && reachable)
        reopened = std::exchange(m_closed, {});
    const auto view = makeView();
    if (due && reachable && m_ownerRole && m_leases.m_leases.contains(m_self.m_vm))
        changeAll(view, upstreams);
    writeAssignments(view, upstreams, !reachable);
    for (const auto& name : reopened) {
        if (std::find(m_closed.begin(), m_closed.end(), name) == m_closed.end())
            m_adapters.open(name);
    }
}

// A lease that lapsed lets others stand in; their requests are waited for before the next eviction.
auto OwnershipController::renewIfDue() -> void
{
    const auto nodes = m_blackboard.m_membership.read(liveNodes);
    const auto begun = now();
    if (begun < m_renewedAt + leaseRenewalPeriod(nodes))
        return;
    const auto lease = LeaseRecord { m_self, leaseDuration(nodes), 0 };
    const auto renewed = renewLease(m_platform, lease);
    if (!renewed)
        return;
    if (m_leaseUntil < begun && m_rights.m_ordersUntil != MonotonicTime()) {
        logChange("lease_lapsed");
        for (const auto& [dataCentre, object] : m_objects) {
            for (const auto& [name, record] : object.m_records)
                m_rights.m_noEvictionsBefore[name] = now() + m_requestDeadline;
        }
    }
    m_renewedAt = begun;
    m_leaseUntil = begun + lease.m_duration - leaseMargin;
}

auto OwnershipController::readAll() -> bool
{
    const auto begun = now();
    const auto leases = readLeases(m_platform);
    if (!leases)
        return false;
    auto objects = readOwnerships(m_platform);
    if (!objects)
        return false;
    m_leases = observeLeases(m_leases, leases.value(), begun, now());
    m_objects = std::move(objects.value());
    m_rights.m_ordersUntil = m_leaseUntil;
    clearRecords(makeView());
    const auto nodes = m_blackboard.m_membership.read(liveNodes);
    m_nextRead = begun + leaseRenewalPeriod(nodes) / readsPerRenewal;
    return true;
}

auto OwnershipController::makeView() const -> OwnershipView
{
    auto view
        = OwnershipView { m_self, m_leases, m_blackboard.m_membership.copy(), m_weightStore.m_maxInFlight };
    if (m_blackboard.m_health.copy().m_draining)
        view.m_membership.m_members[m_self.m_vm].m_state = MemberState::Draining;
    return view;
}

auto OwnershipController::changeAll(const OwnershipView& view, const UpstreamTable& upstreams) -> void
{
    endLeasesOfGone(view);
    m_handedOverInRound = false;
    for (const auto& dataCentre : dataCentresOf(upstreams)) {
        auto object = m_objects[dataCentre];
        const auto changed = planObject(view, upstreams, dataCentre, object);
        if (changed.empty())
            continue;
        const auto written = writeOwnerships(m_platform, dataCentre, object);
        if (written) {
            for (const auto& name : changed) {
                const auto taken
                    = object.m_records.at(name).m_owner == m_self && object.m_records.at(name).m_fencing > 1;
                if (taken)
                    m_rights.m_noEvictionsBefore[name] = now() + m_requestDeadline;
            }
            m_objects[dataCentre] = std::move(object);
        }
        m_nextRead = MonotonicTime();
    }
}

// Puts down for good that a process is gone, since the members' memory of it fades. The first of the live
// nodes does it for all.
auto OwnershipController::endLeasesOfGone(const OwnershipView& view) -> void
{
    const auto first = std::find_if(view.m_membership.m_members.begin(), view.m_membership.m_members.end(),
        [](const auto& row) { return row.second.m_state == MemberState::Alive; });
    if (first == view.m_membership.m_members.end() || first->first != m_self.m_vm)
        return;
    for (const auto& [vm, lease] : view.m_leases.m_leases) {
        const auto& record = lease.m_record;
        if (!record.m_ended && !mayStillRun(view.m_leases, view.m_membership, record.m_holder))
            (void)endLease(m_platform, record.m_holder);
    }
}

auto OwnershipController::clearRecords(const OwnershipView& view) -> void
{
    for (const auto& [dataCentre, object] : m_objects) {
        for (const auto& [name, record] : object.m_records) {
            if (record.m_owner == m_self && isClear(view, record))
                m_rights.m_cleared[name] = record.m_fencing;
        }
    }
}

// Changes the object's records as this node should, and returns the upstreams whose record it changed.
auto OwnershipController::planObject(const OwnershipView& view, const UpstreamTable& upstreams,
    const DataCentreName& dataCentre, OwnershipObject& object) -> std::vector<UpstreamName>
{
    auto changed = std::vector<UpstreamName>();
    for (const auto& [name, upstream] : upstreams.m_upstreams) {
        if (upstream.m_dataCentre == dataCentre && planRecord(view, upstream, object))
            changed.push_back(name);
    }
    return changed;
}

auto OwnershipController::planRecord(
    const OwnershipView& view, const Upstream& upstream, OwnershipObject& object) -> bool
{
    const auto found = object.m_records.find(upstream.m_name);
    const auto record
        = found == object.m_records.end() ? std::nullopt : std::optional<OwnershipRecord>(found->second);
    switch (decideOwnership(view, upstream, record)) {
    case OwnershipStep::Leave:
        return false;
    case OwnershipStep::Take:
        object.m_records[upstream.m_name] = takenRecord(view, record);
        return true;
    case OwnershipStep::HandOver:
        return planHandOver(view, upstream, found->second);
    case OwnershipStep::Acknowledge:
        m_closed.push_back(upstream.m_name);
        if (!m_adapters.close(upstream.m_name))
            return false;
        found->second = acknowledgedRecord(*record, m_self);
        return true;
    }
    return false;
}

// Moves one upstream a round, so that callers find others in service. A node that stays waits for a moment
// without requests; one that leaves takes no new ones meanwhile.
auto OwnershipController::planHandOver(
    const OwnershipView& view, const Upstream& upstream, OwnershipRecord& record) -> bool
{
    const auto pause = m_rights.m_noEvictionsBefore.find(upstream.m_name);
    const auto paused = pause != m_rights.m_noEvictionsBefore.end() && now() < pause->second;
    if (m_handedOverInRound || paused)
        return false;
    if (!m_adapters.close(upstream.m_name)) {
        if (!m_blackboard.m_health.copy().m_draining)
            m_adapters.open(upstream.m_name);
        return false;
    }
    m_closed.push_back(upstream.m_name);
    m_handedOverInRound = true;
    record = handedRecord(record, desiredOwner(view, upstream));
    return true;
}

auto OwnershipController::writeAssignments(
    const OwnershipView& view, const UpstreamTable& upstreams, bool outage) -> void
{
    auto table = AssignmentTable();
    auto engines = EngineCounts();
    for (const auto& [name, upstream] : upstreams.m_upstreams) {
        const auto& records = m_objects[upstream.m_dataCentre].m_records;
        const auto record = records.find(name);
        if (record == records.end())
            continue;
        const auto assignment = assignmentOf(view, upstream, record->second, m_rights, outage, now());
        if (upstream.m_kind == UpstreamKind::Engine)
            ++engines[assignment.m_owner];
        table.m_assignments.emplace(name, assignment);
    }
    writeLoadShare(engines);
    m_blackboard.m_assignments.write([&](AssignmentTable& value) { value = std::move(table); });
}

auto OwnershipController::writeLoadShare(const EngineCounts& engines) -> void
{
    m_loadShare = followLoadShare(m_loadShare, loadShareOf(m_weightStore, engines, m_self.m_vm), now());
    m_blackboard.m_loadShare.write([&](LoadShare& share) { share = m_loadShare.m_inForce; });
}

auto OwnershipController::leave(std::chrono::milliseconds atMost) -> void
{
    const auto end = now() + atMost;
    const auto ownsAny = [&] {
        return m_blackboard.m_assignments.read([](const AssignmentTable& table) {
            return std::any_of(table.m_assignments.begin(), table.m_assignments.end(),
                [](const auto& row) { return row.second.m_servedHere; });
        });
    };
    for (refresh(); ownsAny() && now() < end; refresh())
        std::this_thread::sleep_for(leavePoll);
    auto unused = true;
    for (const auto& report : m_adapters.report())
        unused = m_adapters.close(report.m_upstream) && unused;
    if (unused)
        (void)endLease(m_platform, m_self);
}

} // namespace marigoldladder
