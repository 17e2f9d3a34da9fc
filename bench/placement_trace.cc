#include "placement_trace.h"

#include <cmath>
#include <iterator>
#include <limits>
#include <numeric>
#include <random>
#include <set>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto requestsPerSecond = 25.0;
    constexpr auto traceSeconds = 600.0;
    constexpr auto skew = 1.4;
    constexpr auto shiftSeconds = 60.0;
    constexpr auto shiftedShare = 0.05;

} // namespace

auto makeTrace(unsigned seed) -> std::vector<TraceRequest>
{
    auto random = std::mt19937_64(seed);
    auto byRank = std::vector<std::size_t>(adapters);
    std::iota(byRank.begin(), byRank.end(), 0);
    auto weights = std::vector<double>();
    for (auto rank = std::size_t { 1 }; rank <= adapters; ++rank)
        weights.push_back(std::pow(static_cast<double>(rank), -skew));
    auto rankOf = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    auto gap = std::exponential_distribution<double>(requestsPerSecond);
    auto trace = std::vector<TraceRequest>();
    auto nextShift = shiftSeconds;
    auto at = gap(random);
    while (at < traceSeconds) {
        while (at >= nextShift) {
            nextShift += shiftSeconds;
            for (auto i = 0; i < static_cast<int>(shiftedShare * adapters); ++i)
                std::swap(byRank[random() % adapters], byRank[random() % adapters]);
        }
        trace.push_back({ at, byRank[rankOf(random)] });
        at += gap(random);
    }
    return trace;
}

auto clairvoyantStallShare(const std::vector<TraceRequest>& trace, std::size_t places) -> double
{
    auto nextUse = std::vector<std::size_t>(trace.size());
    auto seen = std::vector<std::size_t>(adapters, std::numeric_limits<std::size_t>::max());
    for (auto i = trace.size(); i-- > 0;)
        nextUse[i] = std::exchange(seen[trace[i].m_adapter], i);
    auto loaded = std::set<std::pair<std::size_t, std::size_t>>(); // Next use and adapter.
    auto misses = std::size_t { 0 };
    for (auto i = std::size_t { 0 }; i < trace.size(); ++i) {
        if (loaded.erase({ i, trace[i].m_adapter }) == 0)
            ++misses;
        loaded.insert({ nextUse[i], trace[i].m_adapter });
        if (loaded.size() > places)
            loaded.erase(std::prev(loaded.end()));
    }
    return static_cast<double>(misses) / static_cast<double>(trace.size());
}

} // namespace marigoldladder
