// Callers that send completions for random adapters to given nodes until they are stopped.
#pragma once

#include "harness/deployment.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace marigoldladder::harness {

struct TrafficPlan {
    std::vector<Address> m_nodes; // One caller for each.
    std::size_t m_adapters = 0;
    int m_tokens = 4;
    unsigned m_seed = 1;
    std::chrono::milliseconds m_answerTimeout { 20'000 };
};

struct TrafficCounts {
    std::atomic<std::uint64_t> m_served { 0 };
    std::atomic<std::uint64_t> m_wrong { 0 }; // Answered by another adapter than asked for.
    std::atomic<std::uint64_t> m_refused { 0 }; // Not run, as the answer says.
    std::atomic<std::uint64_t> m_lost { 0 }; // Everything else.
};

// Returns an answer's status, headers and body, or why there is none, in one line for a failure's message.
auto describeAnswer(const httplib::Result&) -> std::string;

// Sends from construction to destruction, or until `stop`.
class CompletionTraffic {
public:
    explicit CompletionTraffic(TrafficPlan);
    CompletionTraffic(const CompletionTraffic&) = delete;
    auto operator=(const CompletionTraffic&) -> CompletionTraffic& = delete;
    ~CompletionTraffic();

    auto stop() -> void;
    auto counts() const -> const TrafficCounts& { return m_counts; }

    // Returns the answers counted as wrong or lost, one a line.
    auto badAnswers() const -> std::string;

private:
    auto runCaller(const Address&, unsigned seed) -> void;
    auto take(const httplib::Result&, const std::string& model) -> void;

    TrafficPlan m_plan;
    TrafficCounts m_counts;
    std::atomic<bool> m_stopping { false };
    mutable std::mutex m_mutex;
    std::string m_badAnswers;
    std::vector<std::thread> m_threads;
};

} // namespace marigoldladder::harness
