// The adapter half of the stand-in for a model engine: loads, evictions, slots, fencing and their faults.
#pragma once

#include "fake_server.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace marigoldladder::fakes {

struct EngineAdapterSettings {
    std::size_t m_slots = 16;
    std::chrono::milliseconds m_loadTime { 250 };
    bool m_checkFencing = false;
};

// Faults of the next orders, set with `POST /adapter-fault`.
struct EngineAdapterFaults {
    int m_failLoads = 0; // Loads that fail without effect.
    int m_loseReplies = 0; // Orders that take effect, but are answered as if they had failed.
};

// Thread-safe. One load runs at a time, as on an engine.
class EngineAdapters {
public:
    explicit EngineAdapters(EngineAdapterSettings);

    auto addRoutes(httplib::Server&) -> void;

    // Marks a request as running on the adapter; false when it is not loaded.
    auto acquire(const std::string& model) -> bool;
    auto release(const std::string& model) -> void;

    // Adds what happened to the adapters to the engine's records.
    auto addRecords(nlohmann::json& records) -> void;

private:
    auto refusesFencing(const httplib::Request&, httplib::Response&) -> bool;
    auto load(const httplib::Request&, httplib::Response&) -> void;
    auto unload(const httplib::Request&, httplib::Response&) -> void;
    auto list(httplib::Response&) -> void;
    auto setFaults(const httplib::Request&, httplib::Response&) -> void;
    auto failsLoad(httplib::Response&) -> bool;
    auto answerOrder(httplib::Response&, const char* message) -> void;

    EngineAdapterSettings m_settings;
    std::mutex m_loadMutex; // Held while an adapter loads.
    std::mutex m_mutex;
    EngineAdapterFaults m_faults;
    std::map<std::string, int> m_adapters; // With the number of requests that run on each.
    std::map<std::string, std::string> m_paths; // Where each was loaded from.
    std::uint64_t m_fencing = 0;
    std::uint64_t m_evictedInUse = 0;
    nlohmann::json m_orders = nlohmann::json::array();
};

} // namespace marigoldladder::fakes
