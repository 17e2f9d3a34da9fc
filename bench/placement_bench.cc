// What placement is worth on generated traces, and what one choice costs.
//
// Requests with skewed and shifting popularity go through the decision functions in a small event loop:
// replicas with slots, one load at a time each, and the weight store's limits. The same trace is served by
// three baselines, and bounded by a clairvoyant that evicts what is needed last from one pool of all slots
// and loads nothing ahead. Stall is the time that a request waits for its adapter; wait is the time until
// it starts.
#include "placement_trace.h"
#include "routing/adapter_slots.h"
#include "routing/load_budget.h"
#include "routing/placement.h"
#include "routing/popularity.h"
#include "routing/upstream_choice.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <iostream>
#include <limits>
#include <malloc.h>
#include <nlohmann/json.hpp>
#include <numeric>
#include <queue>
#include <string>
#include <vector>

namespace {

using namespace marigoldladder;

using Seconds = std::chrono::duration<double>;

constexpr auto replicas = std::size_t { 12 };
constexpr auto slotsPerReplica = std::size_t { 16 };
constexpr auto concurrency = std::size_t { 16 };
constexpr auto serviceSeconds = 2.0;
constexpr auto loadSeconds = 0.25;
constexpr auto tickSeconds = 0.02;
constexpr auto loadsPerSecond = 4.0;
constexpr auto storeLimits = LoadShare { 8 };
constexpr auto maxDispatchMicroseconds = 10.0;

struct Outcome {
    std::vector<double> m_stalls; // Seconds, one a request.
    std::vector<double> m_waits;
};

auto timeAt(double seconds) -> MonotonicTime
{
    const auto origin = MonotonicTime(std::chrono::hours(1));
    return origin + std::chrono::duration_cast<MonotonicTime::duration>(Seconds(seconds));
}

auto refOf(std::size_t adapter) -> AdapterRef
{
    return { "adapter-" + std::to_string(adapter), "1" };
}

struct WaitingRequest {
    std::size_t m_number = 0;
    double m_at = 0;
    std::size_t m_adapter = 0;
    bool m_pinned = false;
    SlotGeneration m_generation = 0;
};

struct Replica {
    AdapterSlots m_slots;
    std::deque<WaitingRequest> m_waiting;
    std::size_t m_running = 0;
};

// Returns the replica for a request.
using Policy = std::function<std::size_t(const TraceRequest&, const std::vector<Replica>&)>;

// Replays one trace against one policy.
class Replay {
public:
    Replay(const std::vector<TraceRequest>& trace, Policy policy)
        : m_trace(trace)
        , m_policy(std::move(policy))
        , m_replicas(replicas)
    {
        for (auto& replica : m_replicas) {
            replica.m_slots.m_capacity = slotsPerReplica;
            replica.m_slots.m_listNeeded = false;
        }
        m_outcome.m_stalls.resize(trace.size());
        m_outcome.m_waits.resize(trace.size());
    }

    auto run() -> Outcome
    {
        for (auto i = std::size_t { 0 }; i < m_trace.size(); ++i)
            m_events.push({ m_trace[i].m_at, [this, i] { arrive(i); } });
        scheduleTick(0);
        while (m_started < m_trace.size()) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.m_at;
            event.m_run();
        }
        return std::move(m_outcome);
    }

private:
    struct Event {
        double m_at = 0;
        std::function<void()> m_run;

        auto operator<(const Event& other) const -> bool { return m_at > other.m_at; }
    };

    // The replicas take turns in going first when loads are scarce.
    auto scheduleTick(std::size_t first) -> void
    {
        m_events.push({ m_now + tickSeconds, [this, first] {
                           for (auto i = std::size_t { 0 }; i < replicas; ++i)
                               advance(m_replicas[(first + i) % replicas]);
                           scheduleTick(first + 1);
                       } });
    }

    auto arrive(std::size_t number) -> void
    {
        const auto& request = m_trace[number];
        auto& replica = m_replicas[m_policy(request, m_replicas)];
        replica.m_waiting.push_back({ number, m_now, request.m_adapter, false, 0 });
        advance(replica);
    }

    auto advance(Replica& replica) -> void
    {
        for (auto& waiting : replica.m_waiting) {
            if (!waiting.m_pinned)
                tryPin(replica, waiting);
        }
        for (auto next = replica.m_waiting.begin(); next != replica.m_waiting.end();) {
            if (!next->m_pinned || replica.m_running >= concurrency) {
                ++next;
                continue;
            }
            start(replica, *next);
            next = replica.m_waiting.erase(next);
        }
    }

    auto tryPin(Replica& replica, WaitingRequest& waiting) -> void
    {
        const auto ref = refOf(waiting.m_adapter);
        const auto now = timeAt(m_now);
        auto plan = planSlot(replica.m_slots, { ref, "" }, true, now);
        if (plan.m_step == SlotStep::Use) {
            waiting.m_generation = pin(replica.m_slots, ref, now);
            waiting.m_pinned = true;
            m_outcome.m_stalls[waiting.m_number] = m_now - waiting.m_at;
            return;
        }
        const auto mayLoad = plan.m_step == SlotStep::Load || plan.m_step == SlotStep::Evict;
        if (!mayLoad || !takePermit() || !tryBeginLoad(m_budget, storeLimits, now))
            return;
        if (plan.m_step == SlotStep::Evict) {
            beginEviction(replica.m_slots, plan.m_victim);
            finishEviction(replica.m_slots, plan.m_victim, OrderOutcome::Done, now);
        }
        beginLoad(replica.m_slots, { ref, "" });
        m_events.push({ m_now + loadSeconds, [this, &replica, ref] {
                           finishLoad(replica.m_slots, ref, OrderOutcome::Done);
                           endLoad(m_budget);
                           advance(replica);
                       } });
    }

    auto start(Replica& replica, const WaitingRequest& waiting) -> void
    {
        ++m_started;
        ++replica.m_running;
        m_outcome.m_waits[waiting.m_number] = m_now - waiting.m_at;
        m_events.push({ m_now + serviceSeconds, [this, &replica, waiting] {
                           --replica.m_running;
                           unpin(replica.m_slots, refOf(waiting.m_adapter), waiting.m_generation);
                           advance(replica);
                       } });
    }

    const std::vector<TraceRequest>& m_trace;
    Policy m_policy;
    std::vector<Replica> m_replicas;
    std::priority_queue<Event> m_events;
    // Takes one load out of the store's rate, at most one at once.
    auto takePermit() -> bool
    {
        m_permits = std::min(1.0, m_permits + (m_now - m_permitsAt) * loadsPerSecond);
        m_permitsAt = m_now;
        if (m_permits < 1)
            return false;
        m_permits -= 1;
        return true;
    }

    double m_permits = 1;
    double m_permitsAt = 0;
    LoadBudget m_budget;
    Outcome m_outcome;
    std::size_t m_started = 0;
    double m_now = 0;
};

auto upstreamTable(std::size_t count) -> UpstreamTable
{
    auto table = UpstreamTable();
    for (auto i = std::size_t { 0 }; i < count; ++i) {
        auto upstream = Upstream();
        upstream.m_name = UpstreamName("triage-" + std::to_string(i));
        upstream.m_pool = PoolName("triage-models");
        table.m_upstreams[upstream.m_name] = upstream;
    }
    table.m_version = 1;
    return table;
}

auto randomPolicy() -> Policy
{
    return [random = std::mt19937_64(7)](const auto&, const auto&) mutable { return random() % replicas; };
}

auto leastLoadedPolicy() -> Policy
{
    return [](const auto&, const std::vector<Replica>& state) {
        const auto lighter = [](const Replica& left, const Replica& right) {
            return left.m_running + left.m_waiting.size() < right.m_running + right.m_waiting.size();
        };
        return static_cast<std::size_t>(
            std::min_element(state.begin(), state.end(), lighter) - state.begin());
    };
}

auto staticPolicy(const PlacementPool& pool) -> Policy
{
    return [&pool](const TraceRequest& request, const auto&) -> std::size_t {
        return rankTargets(pool, placementHash(formatAdapterRef(refOf(request.m_adapter))), 1).front();
    };
}

auto ourPolicy(PlacementPool& pool) -> Policy
{
    return [&pool, popularity = PopularityTable(), random = std::mt19937_64(7)](
               const TraceRequest& request, const auto&) mutable -> std::size_t {
        const auto now = timeAt(request.m_at);
        const auto hash = placementHash(formatAdapterRef(refOf(request.m_adapter)));
        const auto homes = noteRequest(popularity, hash, 1, now);
        const auto target = chooseTargets(pool, hash, homes, random, now).front();
        noteDispatch(pool.m_targets[target], now);
        return target;
    };
}

auto quantile(std::vector<double> values, double share) -> double
{
    const auto position = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(position), values.end());
    return values[position];
}

auto mean(const std::vector<double>& values) -> double
{
    return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

auto stallShare(const Outcome& outcome) -> double
{
    const auto stalled = std::count_if(
        outcome.m_stalls.begin(), outcome.m_stalls.end(), [](double seconds) { return seconds > 0; });
    return static_cast<double>(stalled) / static_cast<double>(outcome.m_stalls.size());
}

// Prints one figure; returns whether it keeps its bound, if it has one.
auto print(const std::string& name, double value, const std::string& unit, const nlohmann::json& bound = {})
    -> bool
{
    std::cout << nlohmann::json { { "name", name }, { "value", value }, { "unit", unit }, { "bound", bound } }
              << "\n";
    return bound.is_null() || value <= bound.get<double>();
}

auto printOutcome(const std::string& name, const Outcome& outcome) -> void
{
    print(name + "_hit_rate", 1 - stallShare(outcome), "share");
    print(name + "_stall_share", stallShare(outcome), "share");
    print(name + "_stall_p50", quantile(outcome.m_stalls, 0.5), "s");
    print(name + "_stall_p95", quantile(outcome.m_stalls, 0.95), "s");
    print(name + "_stall_p99", quantile(outcome.m_stalls, 0.99), "s");
    print(name + "_wait_mean", mean(outcome.m_waits), "s");
    print(name + "_wait_p95", quantile(outcome.m_waits, 0.95), "s");
    print(name + "_wait_p99", quantile(outcome.m_waits, 0.99), "s");
}

auto benchPolicies(unsigned seed) -> bool
{
    const auto trace = makeTrace(seed);
    auto pool = makePlacementPool(upstreamTable(replicas), {}, PoolName("triage-models"));
    auto bestMean = std::numeric_limits<double>::max();
    auto bestP99 = bestMean;
    auto bestStallP99 = bestMean;
    auto bestStallShare = bestMean;
    const auto baseline = [&](const std::string& name, Policy policy) {
        const auto outcome = Replay(trace, std::move(policy)).run();
        printOutcome(name, outcome);
        bestMean = std::min(bestMean, mean(outcome.m_waits));
        bestP99 = std::min(bestP99, quantile(outcome.m_waits, 0.99));
        bestStallP99 = std::min(bestStallP99, quantile(outcome.m_stalls, 0.99));
        bestStallShare = std::min(bestStallShare, stallShare(outcome));
    };
    baseline("random", randomPolicy());
    baseline("least_loaded", leastLoadedPolicy());
    baseline("static", staticPolicy(pool));
    print("clairvoyant_stall_share", clairvoyantStallShare(trace, replicas * slotsPerReplica), "share");
    const auto ours = Replay(trace, ourPolicy(pool)).run();
    printOutcome("placement", ours);
    const auto meanKept = print("wait_mean_to_best_baseline", mean(ours.m_waits) / bestMean, "ratio", 1.0);
    const auto p99Kept
        = print("wait_p99_to_best_baseline", quantile(ours.m_waits, 0.99) / bestP99, "ratio", 1.0);
    print("stall_share_to_best_baseline", stallShare(ours) / bestStallShare, "ratio");
    const auto stallRatio = quantile(ours.m_stalls, 0.99) / bestStallP99;
    const auto stallKept = print("stall_p99_to_best_baseline", stallRatio, "ratio", 1.0);
    return meanKept && p99Kept && stallKept;
}

auto bytesInUse() -> std::size_t
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

// One choice at the size to design for.
auto benchDispatch() -> bool
{
    constexpr auto bigPool = std::size_t { 10'000 };
    constexpr auto manyAdapters = std::size_t { 16'000 };
    constexpr auto choices = 200'000;
    auto blackboard = Blackboard();
    blackboard.m_upstreams.write([](UpstreamTable& table) { table = upstreamTable(bigPool); });
    auto names = std::vector<std::string>();
    for (auto i = std::size_t { 0 }; i < manyAdapters; ++i)
        names.push_back(formatAdapterRef(refOf(i)));
    const auto before = bytesInUse();
    auto chooser = UpstreamChooser(blackboard);
    auto random = std::mt19937_64(7);
    auto times = std::vector<double>();
    times.reserve(choices);
    const auto reserved = times.capacity() * sizeof(double);
    const auto pool = PoolName("triage-models");
    for (auto i = 0; i < choices; ++i) {
        const auto begun = std::chrono::steady_clock::now();
        (void)chooser.choose(pool, names[random() % manyAdapters]);
        times.push_back(Seconds(std::chrono::steady_clock::now() - begun).count() * 1e6);
    }
    print("dispatch_p50", quantile(times, 0.5), "us");
    const auto kept = print("dispatch_p99", quantile(times, 0.99), "us", maxDispatchMicroseconds);
    print("dispatch_memory", static_cast<double>(bytesInUse() - before - reserved) / 1e6, "MB");
    return kept;
}

} // namespace

auto main() -> int
{
    constexpr auto seed = 1U;
    const auto policiesKept = benchPolicies(seed);
    const auto dispatchKept = benchDispatch();
    return policiesKept && dispatchKept ? 0 : 1;
}
