#include "routing/load_budget.h"

#include <algorithm>

namespace marigoldladder {

namespace {

    // Longer than news of a member takes to reach every node.
    constexpr auto growthDelay = std::chrono::seconds(1);

    // The longest that an engine goes on with a load after its answer was lost.
    constexpr auto lingerTime = std::chrono::seconds(10);

    // The loads in flight that are left once each owner has one, dealt out in whole numbers: first by the
    // whole part of each owner's due, then by the largest rest.
    auto extraLoadsOf(std::size_t extra, const EngineCounts& counts, std::size_t engines, const VmName& vm)
        -> std::size_t
    {
        const auto rest = [&](std::size_t count) { return extra * count % engines; };
        const auto& own = counts.at(vm);
        auto given = std::size_t { 0 };
        auto before = std::size_t { 0 }; // Owners whose rest is served before this one's.
        for (const auto& [owner, count] : counts) {
            given += extra * count / engines;
            before += rest(count) > rest(own) || (rest(count) == rest(own) && owner < vm) ? 1 : 0;
        }
        return extra * own / engines + (before < extra - given ? 1 : 0);
    }

} // namespace

auto loadShareOf(const WeightStoreLimits& limits, const EngineCounts& counts, const VmName& vm) -> LoadShare
{
    const auto own = counts.find(vm);
    if (own == counts.end())
        return {};
    const auto rank = static_cast<std::size_t>(std::distance(counts.begin(), own));
    if (counts.size() > limits.m_maxInFlight)
        return { rank < limits.m_maxInFlight ? std::size_t { 1 } : 0 }; // Until the others hand over.
    auto engines = std::size_t { 0 };
    for (const auto& [owner, count] : counts)
        engines += count;
    if (engines == 0)
        return {};
    auto share = LoadShare();
    share.m_inFlight = 1 + extraLoadsOf(limits.m_maxInFlight - counts.size(), counts, engines, vm);
    return share;
}

auto followLoadShare(const LoadShareState& before, const LoadShare& wanted, MonotonicTime now)
    -> LoadShareState
{
    auto state = before;
    if (wanted.m_inFlight != before.m_wanted.m_inFlight) {
        state.m_wanted = wanted;
        state.m_wantedSince = now;
    }
    state.m_inForce.m_inFlight = std::min(state.m_inForce.m_inFlight, wanted.m_inFlight);
    if (now - state.m_wantedSince >= growthDelay)
        state.m_inForce = wanted;
    return state;
}

auto tryBeginLoad(LoadBudget& budget, const LoadShare& share, MonotonicTime now) -> bool
{
    std::erase_if(budget.m_lingering, [&](MonotonicTime until) { return until <= now; });
    if (budget.m_inFlight + budget.m_lingering.size() >= share.m_inFlight)
        return false;
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

} // namespace marigoldladder
