#include "core/metrics.h"

// Boost 1.74's quantile header uses string streams without including them.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <mutex>

namespace marigoldladder {

namespace {

    namespace accumulators = boost::accumulators;

    constexpr auto median = 0.5;
    constexpr auto highQuantile = 0.95;
    constexpr auto highestQuantile = 0.99;
    constexpr auto trackedQuantiles = std::array { median, highQuantile, highestQuantile };

    using LatencyAccumulator = accumulators::accumulator_set<double,
        accumulators::stats<accumulators::tag::count, accumulators::tag::mean,
            accumulators::tag::extended_p_square_quantile>>;

    constexpr auto counterNames = std::array {
        EnumName<Counter> { Counter::RequestsServed, "requests_served_total" },
        EnumName<Counter> { Counter::RequestsRefusedNotRun, "requests_refused_not_run_total" },
        EnumName<Counter> { Counter::RequestsRefusedMayHaveRun, "requests_refused_may_have_run_total" },
        EnumName<Counter> { Counter::RequestsRefusedRan, "requests_refused_ran_total" },
        EnumName<Counter> { Counter::AllowanceRefusals, "allowance_refusals_total" },
        EnumName<Counter> { Counter::AuthenticationRefusals, "authentication_refusals_total" },
        EnumName<Counter> { Counter::AdapterLoads, "adapter_loads_total" },
        EnumName<Counter> { Counter::AdapterLoadFailures, "adapter_load_failures_total" },
        EnumName<Counter> { Counter::AdapterEvictions, "adapter_evictions_total" },
        EnumName<Counter> { Counter::AnswersDropped, "answers_dropped_total" },
        EnumName<Counter> { Counter::StreamsResumed, "streams_resumed_total" },
        EnumName<Counter> { Counter::StreamsTakenUp, "streams_taken_up_total" },
        EnumName<Counter> { Counter::StreamsNotTakenUp, "streams_not_taken_up_total" },
        EnumName<Counter> { Counter::StreamsOfUnknownOrigin, "streams_of_unknown_origin_total" },
        EnumName<Counter> { Counter::OutdatedEntries, "outdated_entries_total" },
        EnumName<Counter> { Counter::RunsAsked, "upstream_runs_asked_total" },
        EnumName<Counter> { Counter::RequestsRetried, "requests_retried_total" },
        EnumName<Counter> { Counter::PeerConnectionsLost, "peer_connections_lost_total" },
        EnumName<Counter> { Counter::PeerHandshakesRefused, "peer_handshakes_refused_total" },
        EnumName<Counter> { Counter::PeerBytesSent, "peer_bytes_sent_total" },
        EnumName<Counter> { Counter::PeerMessagesSent, "peer_messages_sent_total" },
        EnumName<Counter> { Counter::PlatformReads, "platform_reads_total" },
        EnumName<Counter> { Counter::PlatformWrites, "platform_writes_total" },
        EnumName<Counter> { Counter::PlatformFailures, "platform_failures_total" },
        EnumName<Counter> { Counter::NotesApplied, "notes_applied_total" },
        EnumName<Counter> { Counter::TokensGiven, "allowance_tokens_given_total" },
        EnumName<Counter> { Counter::TokensTaken, "allowance_tokens_taken_total" },
        EnumName<Counter> { Counter::IdempotentReplays, "idempotent_replays_total" },
        EnumName<Counter> { Counter::IdempotencyRefusals, "idempotency_refusals_total" },
        EnumName<Counter> { Counter::PoisonRefusals, "poison_refusals_total" },
        EnumName<Counter> { Counter::QueueRefusals, "queue_refusals_total" },
        EnumName<Counter> { Counter::ControllerPauses, "controller_pauses_total" },
        EnumName<Counter> { Counter::RequestsReceived, "requests_received_total" },
        EnumName<Counter> { Counter::StreamsCut, "streams_cut_total" },
        EnumName<Counter> { Counter::CallersGone, "callers_gone_total" },
        EnumName<Counter> { Counter::UpstreamConnects, "upstream_connects_total" },
        EnumName<Counter> { Counter::EngineOrders, "engine_orders_total" },
        EnumName<Counter> { Counter::UpstreamCrashes, "upstream_crashes_total" },
        EnumName<Counter> { Counter::SuspectsConvicted, "suspects_convicted_total" },
        EnumName<Counter> { Counter::StreamsCutAtDeadline, "streams_cut_at_deadline_total" },
        EnumName<Counter> { Counter::StreamsCutNotRepeatable, "streams_cut_not_repeatable_total" },
        EnumName<Counter> { Counter::StreamsCutAttemptsSpent, "streams_cut_attempts_spent_total" },
        EnumName<Counter> { Counter::StreamsCutWithoutUpstream, "streams_cut_without_upstream_total" },
        EnumName<Counter> { Counter::StreamsCutWithoutRetryBudget, "streams_cut_without_retry_budget_total" },
        EnumName<Counter> { Counter::StreamsCutAsSuspect, "streams_cut_as_suspect_total" },
        EnumName<Counter> { Counter::StreamsCutOtherwise, "streams_cut_otherwise_total" },
        EnumName<Counter> { Counter::InternalFailures, "internal_failures_total" },
        EnumName<Counter> { Counter::ObjectsUnreadable, "objects_unreadable_total" },
        EnumName<Counter> { Counter::TunnelsOpened, "tunnels_opened_total" },
        EnumName<Counter> { Counter::TunnelsCarried, "tunnels_carried_total" },
        EnumName<Counter> { Counter::RequestsWithoutMemory, "requests_without_memory_total" },
        EnumName<Counter> { Counter::AnswersWithoutMemory, "answers_without_memory_total" },
        EnumName<Counter> { Counter::ConnectionsWithoutRoom, "connections_without_room_total" },
        EnumName<Counter> { Counter::InvalidStatuses, "invalid_statuses_total" },
    };
    static_assert(counterNames.size() == static_cast<std::size_t>(Counter::Last));

    constexpr auto latencyNames = std::array {
        EnumName<Latency> { Latency::FirstToken, "first_token_seconds" },
        EnumName<Latency> { Latency::BetweenTokens, "between_tokens_seconds" },
        EnumName<Latency> { Latency::Admission, "admission_seconds" },
        EnumName<Latency> { Latency::QueueWait, "queue_wait_seconds" },
        EnumName<Latency> { Latency::AdapterLoad, "adapter_load_seconds" },
        EnumName<Latency> { Latency::PlatformCall, "platform_call_seconds" },
    };
    static_assert(latencyNames.size() == static_cast<std::size_t>(Latency::Last));

} // namespace

struct Metrics::LatencyState {
    mutable std::mutex m_mutex;
    LatencyAccumulator m_accumulator { accumulators::extended_p_square_probabilities = trackedQuantiles };
};

auto counterName(Counter counter) -> std::string_view
{
    return nameOf(counterNames, counter);
}

auto latencyName(Latency latency) -> std::string_view
{
    return nameOf(latencyNames, latency);
}

Metrics::Metrics()
{
    for (auto& state : m_latencies)
        state = std::make_unique<LatencyState>();
}

Metrics::~Metrics() = default;

auto Metrics::add(Counter counter, std::uint64_t amount) -> void
{
    m_counters.at(static_cast<std::size_t>(counter)).fetch_add(amount, std::memory_order_relaxed);
}

auto Metrics::value(Counter counter) const -> std::uint64_t
{
    return m_counters.at(static_cast<std::size_t>(counter)).load(std::memory_order_relaxed);
}

auto Metrics::observe(Latency latency, double seconds) -> void
{
    auto& state = *m_latencies.at(static_cast<std::size_t>(latency));
    const auto lock = std::lock_guard(state.m_mutex);
    state.m_accumulator(seconds);
}

auto Metrics::summary(Latency latency) const -> LatencySummary
{
    const auto& state = *m_latencies.at(static_cast<std::size_t>(latency));
    const auto lock = std::lock_guard(state.m_mutex);
    const auto quantile = [&](double probability) {
        return accumulators::quantile(state.m_accumulator, accumulators::quantile_probability = probability);
    };
    auto summary = LatencySummary();
    summary.m_count = accumulators::count(state.m_accumulator);
    if (summary.m_count == 0)
        return summary;
    summary.m_mean = accumulators::mean(state.m_accumulator);
    summary.m_p50 = quantile(median);
    summary.m_p95 = quantile(highQuantile);
    summary.m_p99 = quantile(highestQuantile);
    return summary;
}

auto Metrics::formatForPrometheus() const -> std::string
{
    auto text = std::ostringstream();
    for (const auto& row : counterNames)
        text << "marigoldladder_" << row.m_name << " " << value(row.m_value) << "\n";
    for (const auto& row : latencyNames) {
        const auto latency = summary(row.m_value);
        const auto line = [&](double quantile, double seconds) {
            text << "marigoldladder_" << row.m_name << "{quantile=\"" << quantile << "\"} " << seconds
                 << "\n";
        };
        line(median, latency.m_p50);
        line(highQuantile, latency.m_p95);
        line(highestQuantile, latency.m_p99);
        text << "marigoldladder_" << row.m_name << "_count " << latency.m_count << "\n";
    }
    return text.str();
}

} // namespace marigoldladder
