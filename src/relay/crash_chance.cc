#include "relay/crash_chance.h"

#include <algorithm>
#include <cmath>

namespace marigoldladder::relay {

namespace {

    // Suspects during answers are convicted if any of them would meet as many crashes by chance with less
    // than this probability, going by all crashes from some time before its first one on.
    constexpr auto maxChance = 0.01;
    constexpr auto chanceMargin = std::chrono::seconds(3);

    // Upstreams that crashed in quick succession.
    struct CrashEvent {
        MonotonicTime m_lastAt {};
        std::size_t m_crashes = 0;
        std::size_t m_met = 0; // Those of the crashes that the suspect's requests met.
    };

    // Returns the events from shortly before the record's first crash on, except for explained crashes.
    auto eventsAround(const CrashEvidence& evidence, const SuspectRecord& record) -> std::vector<CrashEvent>
    {
        auto since = MonotonicTime::max();
        for (const auto& [run, crashedAt] : record.m_crashes)
            since = std::min(since, crashedAt);
        auto crashes = std::vector<std::pair<MonotonicTime, UpstreamRunId>>();
        for (const auto& [run, crashedAt] : evidence.m_crashedRuns) {
            if (crashedAt + chanceMargin >= since && !evidence.m_explainedRuns.contains(run))
                crashes.emplace_back(crashedAt, run);
        }
        std::sort(crashes.begin(), crashes.end());
        auto events = std::vector<CrashEvent>();
        for (const auto& [crashedAt, run] : crashes) {
            if (events.empty() || crashedAt >= events.back().m_lastAt + minCrashSpacing)
                events.emplace_back();
            auto& event = events.back();
            event.m_lastAt = crashedAt;
            ++event.m_crashes;
            event.m_met += record.m_crashes.contains(run) ? 1 : 0;
        }
        return events;
    }

    // Returns the probability that at least `least` of the independent events come true.
    auto chanceOfAtLeast(std::size_t least, const std::vector<double>& probabilities) -> double
    {
        auto byCount = std::vector<double>(least + 1, 0.0); // The last one: as many or more.
        byCount[0] = 1;
        for (const auto probability : probabilities) {
            byCount[least] += byCount[least - 1] * probability;
            for (auto count = least - 1; count > 0; --count)
                byCount[count] = byCount[count] * (1 - probability) + byCount[count - 1] * probability;
            byCount[0] *= 1 - probability;
        }
        return byCount[least];
    }

} // namespace

auto isBeyondChance(const CrashEvidence& evidence, const SuspectRecord& record, std::size_t suspects,
    std::size_t upstreams) -> bool
{
    const auto events = eventsAround(evidence, record);
    auto atOnce = std::size_t { 1 };
    for (const auto& event : events)
        atOnce = std::max(atOnce, event.m_met);
    auto probabilities = std::vector<double>();
    auto met = std::size_t { 0 };
    for (const auto& event : events) {
        const auto share
            = static_cast<double>(event.m_crashes) / static_cast<double>(std::max<std::size_t>(upstreams, 1));
        const auto missed = std::pow(std::max(1 - share, 0.0), static_cast<double>(atOnce));
        probabilities.push_back(1 - missed);
        met += event.m_met > 0 ? 1 : 0;
    }
    // The more suspects there are, the likelier one of them met many crashes by chance.
    const auto chance = chanceOfAtLeast(met, probabilities) * static_cast<double>(suspects);
    return met >= crashesUntilConvicted && chance < maxChance;
}

} // namespace marigoldladder::relay
