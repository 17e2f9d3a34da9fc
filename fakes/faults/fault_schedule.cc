#include "faults/fault_schedule.h"

#include <algorithm>
#include <random>

namespace marigoldladder::fakes {

auto drawSchedule(std::uint64_t seed, std::size_t rounds) -> std::vector<FaultRound>
{
    auto random = std::mt19937_64(seed);
    auto order = std::vector<FaultKind>();
    auto schedule = std::vector<FaultRound>(rounds);
    // Kinds are dealt like cards, so that a few runs hold all of them.
    const auto nextKind = [&] {
        if (order.empty()) {
            for (const auto& row : faultKindNames)
                order.push_back(row.m_value);
            std::shuffle(order.begin(), order.end(), random);
        }
        const auto kind = order.back();
        order.pop_back();
        return kind;
    };
    for (auto& round : schedule) {
        round.m_faults.push_back({ nextKind(), random() });
        const auto second = nextKind();
        if (second != round.m_faults.front().m_kind)
            round.m_faults.push_back({ second, random() });
    }
    return schedule;
}

} // namespace marigoldladder::fakes
