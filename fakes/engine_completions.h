// The completion half of the stand-in for a model engine: streams, resumption, slots, cold start and faults.
#pragma once

#include "fake_server.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace marigoldladder::fakes {

struct EngineCompletionSettings {
    std::chrono::milliseconds m_tokenTime { 5 };
    std::size_t m_slots = 0; // Requests that run at once, the lowest priority number first; 0: all.
    std::size_t m_coldSlots = 0; // Requests at once that a fresh engine bears; 0: any number.
    std::string m_bootId; // Names this run of the engine.
};

// A prompt that holds this text ends the engine's process.
inline constexpr auto crashMarker = "crash-the-engine";

// Faults of the next events, set with `POST /fault`.
struct EngineCompletionFaults {
    int m_crossed = 0; // Another request's event, or whole answer, comes before the right one.
    int m_doubled = 0; // The event comes twice.
    int m_skipped = 0; // The event does not come.
};

// Marks a request as running on an adapter; false when it is not loaded.
using AcquireAdapter = std::function<bool(const std::string& model)>;
using ReleaseAdapter = std::function<void(const std::string& model)>;

// Thread-safe.
class EngineCompletions {
public:
    EngineCompletions(EngineCompletionSettings, AcquireAdapter, ReleaseAdapter);

    auto addRoutes(httplib::Server&) -> void;

    // Adds what happened to the requests to the engine's records.
    auto addRecords(nlohmann::json& records) -> void;

private:
    struct Generation;

    auto complete(const httplib::Request&, httplib::Response&) -> void;
    auto setFaults(const httplib::Request&, httplib::Response&) -> void;
    auto record(const httplib::Request&) -> void;
    auto begin(const Generation&) -> bool;
    auto end(Generation&) -> void;
    auto answerWhole(Generation&, httplib::Response&) -> void;
    auto writeEvent(Generation&, httplib::DataSink&) -> bool;
    auto eventAt(const Generation&, int position, const std::string& id) const -> std::string;
    auto takeFault(int EngineCompletionFaults::*) -> bool;

    EngineCompletionSettings m_settings;
    AcquireAdapter m_acquire;
    ReleaseAdapter m_release;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    EngineCompletionFaults m_faults;
    std::set<std::pair<int, std::uint64_t>> m_waiting; // By priority and arrival.
    std::uint64_t m_arrivals = 0;
    std::size_t m_running = 0;
    std::size_t m_mostRunning = 0;
    std::uint64_t m_completed = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_overloaded = 0; // Requests beyond what the engine bears cold.
    nlohmann::json m_requests = nlohmann::json::array();
};

} // namespace marigoldladder::fakes
