#include "relay/order_lease.h"

namespace marigoldladder::relay {

namespace {

    constexpr auto renewalInterval = Milliseconds(500);
    constexpr auto renewalValidity = Milliseconds(1'300); // Some renewals may fail meanwhile.
    constexpr auto takeoverMargin = Milliseconds(300); // For orders on their way.
    constexpr auto creationDelay = Milliseconds(1'500); // In which nodes that start together meet.
    constexpr auto rankDelay = Milliseconds(300); // So that candidates don't try at the same time.
    // In a large fleet: the time in which nodes that start together learn their ranks, how many look at the
    // object right after it, and how much later each further one does.
    constexpr auto rankKnownTime = Milliseconds(500);
    constexpr auto eagerNodes = std::size_t { 4 };
    constexpr auto lookDelay = Milliseconds(1'000);

    // Whether this node leaves it to others to look at the object, as far as nobody is missed by it.
    auto leavesLooking(const LeaseContext& context) -> bool
    {
        if (!context.m_largeFleet)
            return false;
        const auto rankTime
            = context.m_rank < eagerNodes ? Milliseconds(0) : lookDelay * static_cast<int>(context.m_rank);
        const auto quietSince = std::max(context.m_startedAt, context.m_holderLastSeenAt);
        return context.m_now < quietSince + rankKnownTime + rankTime;
    }

} // namespace

auto applyLeaseRecord(LeaseState& state, const LeaseRecord& record, UninterruptedTime now) -> void
{
    if (!state.m_lastRecord || *state.m_lastRecord != record) {
        state.m_unchangedSince = now;
        state.m_lastRecord = record;
    }
}

auto mayOrder(const LeaseState& state, bool heardByAll, UninterruptedTime now) -> bool
{
    return state.m_holding && (now < state.m_renewedAt + renewalValidity || heardByAll);
}

auto nextLeaseStep(const LeaseState& state, const LeaseContext& context) -> LeaseStep
{
    if (state.m_holding)
        return context.m_now >= state.m_renewedAt + renewalInterval ? LeaseStep::Renew : LeaseStep::Nothing;
    if (!context.m_eligible)
        return LeaseStep::Nothing;
    const auto heardLately = context.m_now < context.m_holderLastSeenAt + renewalValidity;
    if (heardLately || leavesLooking(context))
        return LeaseStep::Nothing;
    if (!state.m_lastRecord)
        return LeaseStep::Read;
    const auto rankTime = rankDelay * static_cast<int>(context.m_rank);
    if (state.m_lastRecord->m_fence == 0) {
        const auto createAt = state.m_unchangedSince + creationDelay + rankTime;
        return context.m_now >= createAt ? LeaseStep::Create : LeaseStep::Nothing;
    }
    // The machine that held it gives the orders of its next process: no other has given any.
    if (state.m_lastRecord->m_vm == context.m_self)
        return LeaseStep::TakeOver;
    const auto silence = renewalValidity + context.m_leaseTime + takeoverMargin + rankTime;
    const auto quietSince = std::max(state.m_unchangedSince, context.m_holderLastSeenAt);
    return context.m_now >= quietSince + silence ? LeaseStep::TakeOver : LeaseStep::Read;
}

} // namespace marigoldladder::relay
