#include "relay/order_lease.h"

namespace marigoldladder::relay {

namespace {

    constexpr auto renewalInterval = Milliseconds(500);
    constexpr auto renewalValidity = Milliseconds(1'300); // Tolerates some failed renewals.
    constexpr auto takeoverMargin = Milliseconds(300); // For orders that are still being transmitted.
    constexpr auto creationDelay = Milliseconds(1'500); // Nodes that start together discover each other.
    constexpr auto rankDelay = Milliseconds(300); // Keeps candidates from trying at the same time.
    constexpr auto discoveryTime = Milliseconds(500); // Until a node that starts has heard from its peers.
    // In a large fleet: how many nodes read the object once they know their ranks, and how much later each
    // node reads it for each step of its rank.
    constexpr auto immediateReaders = std::size_t { 4 };
    constexpr auto readDelayPerRank = Milliseconds(1'000);

    // Returns the time from the last sign of a holder until its successor may send orders.
    auto successionTime(const LeaseContext& context) -> Milliseconds
    {
        return renewalValidity + context.m_leaseTime + takeoverMargin;
    }

    // Whether this node does not read the object yet and leaves that to nodes of lower rank, which limits the
    // load on the store in a large fleet.
    auto defersReading(const LeaseContext& context) -> bool
    {
        if (!context.m_largeFleet)
            return false;
        const auto rankTime = context.m_rank < immediateReaders
            ? Milliseconds(0)
            : readDelayPerRank * static_cast<int>(context.m_rank);
        const auto inactiveSince = std::max(context.m_startedAt, context.m_holderLastSeenAt);
        return context.m_now < inactiveSince + discoveryTime + rankTime;
    }

} // namespace

auto applyLeaseRecord(LeaseState& state, const LeaseRecord& record, BootClockTime now) -> void
{
    state.m_highestFence = std::max(state.m_highestFence, record.m_fence);
    if (!state.m_lastRecord || *state.m_lastRecord != record) {
        state.m_unchangedSince = now;
        state.m_lastRecord = record;
    }
}

auto mayOrder(const LeaseState& state, bool confirmedByAll, BootClockTime now) -> bool
{
    const auto isConfirmed = now < state.m_renewedAt + renewalValidity || confirmedByAll;
    return state.m_holding && now >= state.m_ordersFrom && isConfirmed;
}

auto firstOrderAt(const LeaseContext& context) -> BootClockTime
{
    if (context.m_holderLastSeenAt == BootClockTime())
        return context.m_now;
    return std::max(context.m_now, context.m_holderLastSeenAt + successionTime(context));
}

auto nextFence(const LeaseState& state, const LeaseContext& context) -> std::uint64_t
{
    return std::max(state.m_highestFence, context.m_highestFence) + 1;
}

auto judgeHeldLease(const LeaseRecord& held, const LeaseRecord& found) -> HeldLease
{
    if (found.m_vm == held.m_vm && found.m_fence == held.m_fence)
        return HeldLease::Kept;
    const auto isMissing = found.m_fence == 0;
    const auto isOutdated = isMissing || (found.m_era > held.m_era && found.m_fence < held.m_fence);
    return isOutdated ? HeldLease::Outdated : HeldLease::Lost;
}

namespace {

    auto nextHolderStep(const LeaseState& state, const LeaseContext& context) -> LeaseStep
    {
        if (context.m_now < state.m_renewedAt + renewalInterval)
            return LeaseStep::Nothing;
        const auto isOfEarlierEra = state.m_lastRecord && state.m_lastRecord->m_era < context.m_storeEra;
        if (isOfEarlierEra)
            return LeaseStep::Read;
        const auto isMissing = state.m_lastRecord && state.m_lastRecord->m_revision == 0;
        return isMissing ? LeaseStep::Create : LeaseStep::Renew;
    }

    // Whether the record is the last lease of an earlier process of this node, which then has no successor.
    // In an older copy of the store it may not be the last one; peers tell of a later one within the
    // discovery time.
    auto isOwnLastLease(const LeaseState& state, const LeaseContext& context) -> bool
    {
        const auto& record = *state.m_lastRecord;
        const auto highestFence = std::max(state.m_highestFence, context.m_highestFence);
        return record.m_vm == context.m_self && record.m_fence >= highestFence
            && context.m_now >= context.m_startedAt + discoveryTime;
    }

} // namespace

auto nextLeaseStep(const LeaseState& state, const LeaseContext& context) -> LeaseStep
{
    if (state.m_holding)
        return nextHolderStep(state, context);
    if (!context.m_eligible)
        return LeaseStep::Nothing;
    const auto holderSeenRecently = context.m_now < context.m_holderLastSeenAt + renewalValidity;
    if (holderSeenRecently || defersReading(context))
        return LeaseStep::Nothing;
    if (!state.m_lastRecord)
        return LeaseStep::Read;
    const auto rankTime = rankDelay * static_cast<int>(context.m_rank);
    if (state.m_lastRecord->m_era < context.m_storeEra)
        return LeaseStep::Read;
    const auto isFirstLease = std::max(state.m_highestFence, context.m_highestFence) == 0;
    if (isFirstLease) {
        const auto createAt = state.m_unchangedSince + creationDelay + rankTime;
        return context.m_now >= createAt ? LeaseStep::Create : LeaseStep::Nothing;
    }
    // The previous process on this machine held the lease, so no other node has sent orders since, and there
    // is nothing to wait for.
    if (isOwnLastLease(state, context))
        return LeaseStep::TakeOver;
    const auto takeoverDelay = successionTime(context) + rankTime;
    const auto inactiveSince = std::max(state.m_unchangedSince, context.m_holderLastSeenAt);
    if (context.m_now < inactiveSince + takeoverDelay)
        return LeaseStep::Read;
    return state.m_lastRecord->m_revision == 0 ? LeaseStep::Create : LeaseStep::TakeOver;
}

} // namespace marigoldladder::relay
