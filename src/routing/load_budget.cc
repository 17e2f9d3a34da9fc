#include "routing/load_budget.h"

#include <algorithm>

namespace marigoldladder {

namespace {

    // Longer than news of a member takes to reach every node.
    constexpr auto growthDelay = std::chrono::seconds(1);

    // One load at once, so that the nodes together start no burst beyond one load each.
    constexpr auto maxTokens = 1.0;

    // The longest that an engine goes on with a load after its answer was lost.
    constexpr auto lingerTime = std::chrono::seconds(10);

} // namespace

auto loadShareOf(const WeightStoreLimits& limits, std::size_t nodes, std::size_t rank) -> LoadShare
{
    const auto whole = limits.m_maxInFlight / nodes;
    const auto rest = limits.m_maxInFlight % nodes;
    const auto holders = std::min(nodes, limits.m_maxInFlight);
    auto share = LoadShare();
    share.m_inFlight = whole + (rank < rest ? 1 : 0);
    if (share.m_inFlight > 0)
        share.m_loadsPerSecond = limits.m_loadsPerSecond / static_cast<double>(holders);
    return share;
}

auto followLoadShare(const LoadShareState& before, const LoadShare& wanted, MonotonicTime now)
    -> LoadShareState
{
    auto state = before;
    if (wanted.m_inFlight != before.m_wanted.m_inFlight
        || wanted.m_loadsPerSecond != before.m_wanted.m_loadsPerSecond) {
        state.m_wanted = wanted;
        state.m_wantedSince = now;
    }
    state.m_inForce.m_inFlight = std::min(state.m_inForce.m_inFlight, wanted.m_inFlight);
    state.m_inForce.m_loadsPerSecond = std::min(state.m_inForce.m_loadsPerSecond, wanted.m_loadsPerSecond);
    if (now - state.m_wantedSince >= growthDelay)
        state.m_inForce = wanted;
    return state;
}

auto tryBeginLoad(LoadBudget& budget, const LoadShare& share, MonotonicTime now) -> bool
{
    const auto passed = std::chrono::duration<double>(now - budget.m_filledAt).count();
    budget.m_tokens = std::min(maxTokens, budget.m_tokens + passed * share.m_loadsPerSecond);
    budget.m_filledAt = now;
    std::erase_if(budget.m_lingering, [&](MonotonicTime until) { return until <= now; });
    if (budget.m_tokens < 1 || budget.m_inFlight + budget.m_lingering.size() >= share.m_inFlight)
        return false;
    budget.m_tokens -= 1;
    ++budget.m_inFlight;
    return true;
}

auto endLoad(LoadBudget& budget) -> void
{
    --budget.m_inFlight;
}

auto endLoadInDoubt(LoadBudget& budget, MonotonicTime now) -> void
{
    endLoad(budget);
    budget.m_lingering.push_back(now + lingerTime);
}

auto refreshLoadShare(Blackboard& blackboard, const WeightStoreLimits& limits, const VmName& self,
    LoadShareState& state) -> void
{
    auto nodes = std::size_t { 0 };
    auto rank = std::size_t { 0 };
    blackboard.m_membership.read([&](const Membership& membership) {
        for (const auto& [vm, member] : membership.m_members) {
            if (member.m_state == MemberState::Gone)
                continue;
            rank += vm < self ? 1 : 0;
            ++nodes;
        }
    });
    const auto wanted = loadShareOf(limits, std::max(nodes, std::size_t { 1 }), rank);
    state = followLoadShare(state, wanted, std::chrono::steady_clock::now());
    blackboard.m_loadShare.write([&](LoadShare& share) { share = state.m_inForce; });
}

} // namespace marigoldladder
