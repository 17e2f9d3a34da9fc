// The part of the order controller that acquires, renews and loses the order lease.
#include "core/json_fields.h"
#include "core/log.h"
#include "relay/order_controller.h"

namespace marigoldladder::relay {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr auto leaseKind = "leases"; // A kind of this project's own objects in the store.
    constexpr auto leaseName = "engine-orders";
    constexpr auto leaseStepInterval = Milliseconds(100);
    constexpr auto strandedTime = Milliseconds(1'000); // After it a stranded holder gives the lease up.
    constexpr auto leaseReadInterval = Milliseconds(700);

    auto toJson(const LeaseRecord& record) -> nlohmann::json
    {
        return nlohmann::json { { "vm", record.m_vm.value() }, { "fence", record.m_fence },
            { "renewals", record.m_renewals } };
    }

    auto toRecord(const StoredObject& object) -> LeaseRecord
    {
        auto record = LeaseRecord();
        record.m_revision = object.m_revision.m_revision;
        record.m_era = object.m_revision.m_era;
        if (!object.m_content.is_object())
            return record;
        record.m_vm = VmName(textOr(object.m_content, "vm", ""));
        record.m_fence = countOr(object.m_content, "fence", 1);
        record.m_renewals = countOr(object.m_content, "renewals", 0);
        return record;
    }

    // The state of a store of this era without a lease.
    auto missingLease(std::uint64_t era) -> LeaseRecord
    {
        auto record = LeaseRecord();
        record.m_era = era;
        return record;
    }

} // namespace

auto OrderController::runLeaseLoop() -> Awaitable<void>
{
    for (;;) {
        co_await sleepFor(leaseStepInterval);
        const auto& holder = m_board.m_fleet.m_holder;
        if (m_lease.m_holding && holder.m_fence > m_board.m_orders.m_fence)
            loseLease("another node holds a lease with a higher fence");
        // The users' rules know a holder by the machine that calls engines, so its orders can't go through a
        // peer.
        const auto now = Clock::now();
        if (!isStranded(m_board))
            m_notStrandedAt = now;
        if (m_lease.m_holding && m_notStrandedAt + strandedTime <= now)
            loseLease("this node reaches no upstream by itself");
        const auto context = leaseContext();
        const auto step = nextLeaseStep(m_lease, context);
        if (step == LeaseStep::Nothing)
            continue;
        co_await performLeaseStep(step, nextFence(m_lease, context));
        if (step == LeaseStep::Read)
            co_await sleepFor(m_lease.m_holding ? leaseStepInterval : leaseReadInterval);
    }
}

auto OrderController::leaseContext() const -> LeaseContext
{
    const auto& holder = m_board.m_fleet.m_holder;
    auto context = LeaseContext();
    context.m_self = m_settings.m_vm;
    context.m_leaseTime = m_settings.m_bounds.m_leaseTime;
    context.m_now = bootClockNow();
    if (holder.m_lastReportedAt != MonotonicTime() && holder.m_vm != m_settings.m_vm)
        context.m_holderLastSeenAt = context.m_now - (Clock::now() - holder.m_lastReportedAt);
    context.m_eligible = m_isReady() && !isStranded(m_board);
    context.m_rank = m_peers.rankAmongReady();
    context.m_startedAt = m_startedAt;
    context.m_largeFleet = !isSmallFleet(m_board.m_fleet);
    context.m_storeEra = m_board.m_storeEra.value_or(0);
    context.m_highestFence = std::max(holder.m_fence, m_board.m_orders.m_fence);
    return context;
}

auto OrderController::performLeaseStep(LeaseStep step, std::uint64_t newFence) -> Awaitable<void>
{
    const auto own = m_board.m_orders.m_fence;
    switch (step) {
    case LeaseStep::Nothing:
        break;
    case LeaseStep::Read:
        co_await readLease();
        break;
    case LeaseStep::Create:
        co_await writeLease(true, m_lease.m_holding ? own : newFence, 0);
        break;
    case LeaseStep::Renew:
        co_await writeLease(false, own, m_lease.m_lastRecord->m_renewals + 1);
        break;
    case LeaseStep::TakeOver:
        co_await writeLease(false, newFence, 0);
        break;
    }
}

auto OrderController::readLease() -> Awaitable<void>
{
    auto object = co_await m_store.m_get(leaseKind, leaseName);
    if (object)
        applyFoundLease(toRecord(object.value()));
    else if (object.error().m_type == StoreFailureType::Conflict)
        applyFoundLease(missingLease(m_board.m_storeEra.value_or(firstEra)));
}

auto OrderController::applyFoundLease(const LeaseRecord& found) -> void
{
    if (m_lease.m_holding) {
        const auto held = LeaseRecord { m_settings.m_vm, m_board.m_orders.m_fence, 0, 0, m_lease.m_heldEra };
        const auto judged = judgeHeldLease(held, found);
        if (judged == HeldLease::Lost)
            loseLease("another node has taken over the lease");
        else if (judged == HeldLease::Outdated)
            logChange("order_lease_outdated",
                { { "holder", found.m_vm.value() }, { "fence", std::to_string(found.m_fence) },
                    { "era", std::to_string(found.m_era) } });
    }
    applyLeaseRecord(m_lease, found, bootClockNow());
}

auto OrderController::writeLease(bool create, std::uint64_t fence, std::uint64_t renewals) -> Awaitable<void>
{
    const auto sentAt = bootClockNow();
    const auto before = *m_lease.m_lastRecord;
    auto record
        = LeaseRecord { m_settings.m_vm, fence, renewals, create ? 0 : before.m_revision, before.m_era };
    auto object = StoredObject();
    object.m_name = leaseName;
    object.m_revision = { record.m_era, record.m_revision };
    object.m_content = toJson(record);
    // Awaited in its own statement, as gcc 12 destroys temporaries twice where an awaited conditional
    // expression contains both calls.
    auto call = create ? m_store.m_create(leaseKind, object) : m_store.m_replace(leaseKind, object);
    auto written = co_await std::move(call);
    const auto sameEra = written && written.value().m_revision.m_era == before.m_era;
    if (sameEra || (written && create)) {
        record.m_revision = written.value().m_revision.m_revision;
        record.m_era = written.value().m_revision.m_era;
        markLeaseHeld(record, sentAt);
        co_return;
    }
    if (!written && wasNotCarriedOut(written.error()))
        co_return;
    // Another node has written the object, the answer to this node's own write was lost, or the store
    // returned from an older copy and the write replaced an object that this node hasn't read.
    auto current = co_await m_store.m_get(leaseKind, leaseName);
    const auto isMissing = !current && current.error().m_type == StoreFailureType::Conflict;
    if (!current && !isMissing)
        co_return;
    const auto found
        = isMissing ? missingLease(m_board.m_storeEra.value_or(firstEra)) : toRecord(current.value());
    const auto isOwnWrite
        = found.m_vm == m_settings.m_vm && found.m_fence == fence && found.m_renewals == renewals;
    if (isOwnWrite && found.m_era == before.m_era)
        markLeaseHeld(found, sentAt);
    else
        applyFoundLease(found);
}

auto OrderController::markLeaseHeld(const LeaseRecord& record, BootClockTime sentAt) -> void
{
    applyLeaseRecord(m_lease, record, bootClockNow());
    m_lease.m_renewedAt = sentAt;
    m_lease.m_heldEra = record.m_era;
    const auto isNew = !m_lease.m_holding;
    if (isNew)
        m_lease.m_ordersFrom = firstOrderAt(leaseContext());
    m_lease.m_holding = true;
    m_board.m_orders.m_holdsLease = true;
    m_board.m_orders.m_fence = record.m_fence;
    if (!isNew)
        return;
    logChange("order_lease_held", { { "fence", std::to_string(record.m_fence) } });
    auto& holder = m_board.m_fleet.m_holder;
    holder = KnownHolder { m_settings.m_vm, record.m_fence, Clock::now() };
    m_board.m_fleetDemand.m_byNode.clear();
    m_peers.sendToAll();
    planSoon();
}

auto OrderController::loseLease(const char* reason) -> void
{
    m_lease.m_holding = false;
    m_board.m_orders.m_holdsLease = false;
    m_board.m_orders.m_recent.clear();
    m_orderTracker.clear();
    logChange("order_lease_lost", { { "reason", reason } });
}

auto OrderController::mayOrderNow() const -> bool
{
    const auto superseded = m_board.m_fleet.m_holder.m_fence > m_board.m_orders.m_fence;
    return !superseded && mayOrder(m_lease, m_peers.isAcknowledgedByAll(), bootClockNow());
}

} // namespace marigoldladder::relay
