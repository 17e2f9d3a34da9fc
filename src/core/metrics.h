// Counters and latency summaries of one process, and their text for Prometheus.
#pragma once

#include "marigoldladder/enum_names.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace marigoldladder {

// Everything a node counts. Add a value and its name here, then count with `Metrics::add`.
enum class Counter {
    RequestsServed,
    RequestsRefusedNotRun,
    RequestsRefusedMayHaveRun,
    RequestsRefusedRan,
    AllowanceRefusals,
    AuthenticationRefusals,
    AdapterLoads,
    AdapterLoadFailures,
    AdapterEvictions,
    AnswersDropped,
    StreamsResumed,
    StreamsTakenUp,
    StreamsNotTakenUp,
    StreamsOfUnknownOrigin,
    OutdatedEntries,
    RunsAsked,
    RequestsRetried,
    PeerConnectionsLost,
    PeerHandshakesRefused,
    PeerBytesSent,
    PeerMessagesSent,
    PlatformReads,
    PlatformWrites,
    PlatformFailures,
    NotesApplied,
    TokensGiven,
    TokensTaken,
    IdempotentReplays,
    IdempotencyRefusals,
    PoisonRefusals,
    QueueRefusals,
    ControllerPauses,
    RequestsReceived,
    StreamsCut,
    CallersGone,
    UpstreamConnects,
    EngineOrders,
    UpstreamCrashes,
    SuspectsConvicted,
    StreamsCutAtDeadline,
    StreamsCutNotRepeatable,
    StreamsCutAttemptsSpent,
    StreamsCutWithoutUpstream,
    StreamsCutWithoutRetryBudget,
    StreamsCutAsSuspect,
    StreamsCutOtherwise,
    InternalFailures,
    ObjectsUnreadable,
    TunnelsOpened,
    TunnelsCarried,
    RequestsWithoutMemory,
    AnswersWithoutMemory,
    ConnectionsWithoutRoom,
    InvalidStatuses,
    Last, // Counts the values above.
};

// Returns the counter's name as it stands in /metrics.
auto counterName(Counter) -> std::string_view;

enum class Latency {
    FirstToken,
    BetweenTokens,
    Admission,
    QueueWait,
    AdapterLoad,
    PlatformCall,
    Last, // Counts the values above.
};

auto latencyName(Latency) -> std::string_view;

// Quantiles of a latency since the process started, in seconds.
struct LatencySummary {
    std::uint64_t m_count = 0;
    double m_mean = 0;
    double m_p50 = 0;
    double m_p95 = 0;
    double m_p99 = 0;
};

// Thread-safe. Counting is one atomic addition; observing a latency takes a lock of that latency.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    auto operator=(const Metrics&) -> Metrics& = delete;

    auto add(Counter, std::uint64_t amount = 1) -> void;
    auto value(Counter) const -> std::uint64_t;
    auto observe(Latency, double seconds) -> void;
    auto summary(Latency) const -> LatencySummary;

    // Returns all counters and summaries in Prometheus' text format.
    auto formatForPrometheus() const -> std::string;

private:
    struct LatencyState;

    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(Counter::Last)> m_counters {};
    std::array<std::unique_ptr<LatencyState>, static_cast<std::size_t>(Latency::Last)> m_latencies;
};

} // namespace marigoldladder
