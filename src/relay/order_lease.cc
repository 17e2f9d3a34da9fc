#include "relay/order_lease.h"

namespace marigoldladder::relay {

namespace {

    constexpr auto renewalInterval = Milliseconds(500);
    constexpr auto renewalValidity = Milliseconds(1'300); // Tolerates some failed renewals.
    constexpr auto takeoverMargin = Milliseconds(300); // For orders that are still being transmitted.
    constexpr auto creationDelay = Milliseconds(1'500); // Nodes that start together discover each other.
    constexpr auto rankDelay = Milliseconds(300); // Keeps candidates from trying at the same time.
    // In a large fleet: the time in which nodes that start together learn their ranks, how many nodes read
    // the object right after it, and how much later each node reads it for each step of its rank.
    constexpr auto rankDiscoveryTime = Milliseconds(500);
    constexpr auto immediateReaders = std::size_t { 4 };
    constexpr auto readDelayPerRank = Milliseconds(1'000);

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
        return context.m_now < inactiveSince + rankDiscoveryTime + rankTime;
    }

} // namespace

auto applyLeaseRecord(LeaseState& state, const LeaseRecord& record, BootClockTime now) -> void
{
    if (!state.m_lastRecord || *state.m_lastRecord != record) {
        state.m_unchangedSince = now;
        state.m_lastRecord = record;
    }
}

auto mayOrder(const LeaseState& state, bool confirmedByAll, BootClockTime now) -> bool
{
    return state.m_holding && (now < state.m_renewedAt + renewalValidity || confirmedByAll);
}

auto nextLeaseStep(const LeaseState& state, const LeaseContext& context) -> LeaseStep
{
    if (state.m_holding)
        return context.m_now >= state.m_renewedAt + renewalInterval ? LeaseStep::Renew : LeaseStep::Nothing;
    if (!context.m_eligible)
        return LeaseStep::Nothing;
    const auto holderSeenRecently = context.m_now < context.m_holderLastSeenAt + renewalValidity;
    if (holderSeenRecently || defersReading(context))
        return LeaseStep::Nothing;
    if (!state.m_lastRecord)
        return LeaseStep::Read;
    const auto rankTime = rankDelay * static_cast<int>(context.m_rank);
    if (state.m_lastRecord->m_fence == 0) {
        const auto createAt = state.m_unchangedSince + creationDelay + rankTime;
        return context.m_now >= createAt ? LeaseStep::Create : LeaseStep::Nothing;
    }
    // The previous process on this machine held the lease, so no other node has sent orders since, and there
    // is nothing to wait for.
    if (state.m_lastRecord->m_vm == context.m_self)
        return LeaseStep::TakeOver;
    const auto takeoverDelay = renewalValidity + context.m_leaseTime + takeoverMargin + rankTime;
    const auto inactiveSince = std::max(state.m_unchangedSince, context.m_holderLastSeenAt);
    return context.m_now >= inactiveSince + takeoverDelay ? LeaseStep::TakeOver : LeaseStep::Read;
}

} // namespace marigoldladder::relay
