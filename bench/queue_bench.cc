// What the worst-served organisation gets while another sends five times its share, under the fair queue
// and under a plain first-in-first-out queue of the same bound, on the same arrivals; and what one decision
// of the fair queue costs. Prints one line of JSON for each figure; ends with 1 when a bound is missed.
//
// The upstream is a discrete-event model: so many calls at once, each taking time by its tokens.
#include "routing/fair_queue.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace marigoldladder {

namespace {

    constexpr auto organisationCount = 5;
    constexpr auto slots = std::size_t { 16 };
    constexpr auto tokensPerSecondAndSlot = 50.0;
    constexpr auto shareTokensPerSecond = slots * tokensPerSecondAndSlot / organisationCount;
    constexpr auto politeLoad = 0.9; // Of its share.
    constexpr auto greedyLoad = 5.0;
    constexpr auto horizonSeconds = 600.0;
    constexpr auto patienceSeconds = 10.0;
    constexpr auto leastTokens = 20;
    constexpr auto mostTokens = 200;
    constexpr auto waitingBound = std::size_t { 256 };
    constexpr auto worstServedBound = 0.95;
    constexpr auto decisionBoundMicroseconds = 10.0;
    const auto origin = MonotonicTime(std::chrono::hours(1));

    struct Arrival {
        double m_at = 0;
        int m_organisation = 0;
        double m_tokens = 0;
    };

    struct QueueModel {
        std::function<void(std::size_t index, double now)> m_add;
        std::function<std::optional<std::size_t>()> m_next;
    };

    auto toTime(double seconds) -> MonotonicTime
    {
        return origin + std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6));
    }

    auto drawArrivals(int organisation, double load, std::uint64_t seed) -> std::vector<Arrival>
    {
        auto random = std::mt19937_64(seed + static_cast<std::uint64_t>(organisation));
        auto tokens = std::uniform_real_distribution<double>(leastTokens, mostTokens);
        const auto meanTokens = (leastTokens + mostTokens) / 2.0;
        auto gap = std::exponential_distribution<double>(load * shareTokensPerSecond / meanTokens);
        auto arrivals = std::vector<Arrival>();
        auto at = gap(random);
        while (at < horizonSeconds) {
            arrivals.push_back({ at, organisation, tokens(random) });
            at += gap(random);
        }
        return arrivals;
    }

    auto merge(const std::vector<std::vector<Arrival>>& parts) -> std::vector<Arrival>
    {
        auto all = std::vector<Arrival>();
        for (const auto& part : parts)
            all.insert(all.end(), part.begin(), part.end());
        std::sort(all.begin(), all.end(),
            [](const Arrival& left, const Arrival& right) { return left.m_at < right.m_at; });
        return all;
    }

    auto makeFairModel(FairQueue& queue, const std::vector<Arrival>& arrivals) -> QueueModel
    {
        const auto add = [&](std::size_t index, double now) {
            const auto& arrival = arrivals[index];
            const auto organisation
                = OrganisationName("organisation-" + std::to_string(arrival.m_organisation));
            enqueueCall(queue,
                { RequestId(std::to_string(index)), organisation, 1, Priority::Interactive, arrival.m_tokens,
                    toTime(arrival.m_at + patienceSeconds) },
                toTime(now));
        };
        const auto next = [&]() -> std::optional<std::size_t> {
            const auto call = takeNextCall(queue, [](const QueuedCall&) { return true; });
            return call ? std::optional(std::stoul(call->m_id.value())) : std::nullopt;
        };
        return { add, next };
    }

    auto makeFifoModel(std::deque<std::size_t>& queue) -> QueueModel
    {
        const auto add = [&](std::size_t index, double) {
            if (queue.size() < waitingBound)
                queue.push_back(index);
        };
        const auto next = [&]() -> std::optional<std::size_t> {
            if (queue.empty())
                return std::nullopt;
            const auto index = queue.front();
            queue.pop_front();
            return index;
        };
        return { add, next };
    }

    // Returns the tokens of the calls of each organisation that started before their callers lost patience.
    auto simulate(const std::vector<Arrival>& arrivals, const QueueModel& queue) -> std::map<int, double>
    {
        auto served = std::map<int, double>();
        auto busyUntil = std::multiset<double>();
        const auto startCalls = [&](double now) {
            while (busyUntil.size() < slots) {
                const auto index = queue.m_next();
                if (!index)
                    return;
                const auto& arrival = arrivals[*index];
                if (now - arrival.m_at > patienceSeconds)
                    continue;
                served[arrival.m_organisation] += arrival.m_tokens;
                busyUntil.insert(now + arrival.m_tokens / tokensPerSecondAndSlot);
            }
        };
        for (auto i = std::size_t { 0 }; i < arrivals.size(); ++i) {
            while (!busyUntil.empty() && *busyUntil.begin() <= arrivals[i].m_at) {
                const auto now = *busyUntil.begin();
                busyUntil.erase(busyUntil.begin());
                startCalls(now);
            }
            queue.m_add(i, arrivals[i].m_at);
            startCalls(arrivals[i].m_at);
        }
        return served;
    }

    auto simulateFair(const std::vector<Arrival>& arrivals) -> std::map<int, double>
    {
        auto queue = FairQueue();
        queue.m_bounds.m_total = waitingBound;
        queue.m_tokensPerSecond = slots * tokensPerSecondAndSlot;
        return simulate(arrivals, makeFairModel(queue, arrivals));
    }

    auto simulateFifo(const std::vector<Arrival>& arrivals) -> std::map<int, double>
    {
        auto queue = std::deque<std::size_t>();
        return simulate(arrivals, makeFifoModel(queue));
    }

    using Simulation = std::function<std::map<int, double>(const std::vector<Arrival>&)>;

    // The least that a polite organisation gets beside the greedy one, as a part of what it gets alone.
    auto worstServed(const Simulation& run, std::uint64_t seed) -> double
    {
        auto parts = std::vector<std::vector<Arrival>> { drawArrivals(0, greedyLoad, seed) };
        for (auto i = 1; i < organisationCount; ++i)
            parts.push_back(drawArrivals(i, politeLoad, seed));
        auto together = run(merge(parts));
        auto worst = 1.0;
        for (auto i = 1; i < organisationCount; ++i) {
            auto alone = run(parts[static_cast<std::size_t>(i)]);
            worst = std::min(worst, together[i] / alone[i]);
        }
        return worst;
    }

    // The 99th percentile of the time to add a call to a nearly full queue and take the next, in
    // microseconds.
    auto decisionCost() -> double
    {
        constexpr auto decisions = std::size_t { 20'000 };
        constexpr auto organisations = 200;
        auto queue = FairQueue();
        auto costs = std::vector<double>();
        for (auto i = std::size_t { 0 }; i < decisions; ++i) {
            const auto organisation
                = OrganisationName("organisation-" + std::to_string(i * 7 % organisations));
            auto call = QueuedCall { RequestId(std::to_string(i)), organisation, 1, Priority::Interactive, 50,
                toTime(1e6) };
            const auto begun = std::chrono::steady_clock::now();
            enqueueCall(queue, std::move(call), origin);
            if (queue.m_waiting >= waitingBound - 1)
                (void)takeNextCall(queue, [](const QueuedCall&) { return true; });
            const auto took = std::chrono::steady_clock::now() - begun;
            costs.push_back(std::chrono::duration<double, std::micro>(took).count());
        }
        std::sort(costs.begin(), costs.end());
        return costs[decisions * 99 / 100];
    }

    // The bound is the most allowed, or the least.
    auto report(const char* name, double value, const char* unit, double bound, bool atLeast) -> void
    {
        std::printf("{\"name\":\"%s\",\"value\":%.4f,\"unit\":\"%s\",\"bound\":%.2f,\"at_least\":%s}\n", name,
            value, unit, bound, atLeast ? "true" : "false");
    }

} // namespace

} // namespace marigoldladder

auto main() -> int
{
    using namespace marigoldladder;
    auto fair = 1.0;
    auto fifo = 1.0;
    for (const auto seed : { 1U, 2U, 3U, 4U, 5U }) {
        fair = std::min(fair, worstServed(simulateFair, seed));
        fifo = std::min(fifo, worstServed(simulateFifo, seed));
    }
    const auto cost = decisionCost();
    report("queue.worst_served.fair", fair, "ratio", worstServedBound, true);
    report("queue.worst_served.fifo_baseline", fifo, "ratio", 0, true);
    report("queue.decision_p99", cost, "us", decisionBoundMicroseconds, false);
    return fair >= worstServedBound && cost <= decisionBoundMicroseconds ? 0 : 1;
}
