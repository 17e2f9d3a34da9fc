// Does faults to a running deployment and undoes them, noting each in the run's events.
#pragma once

#include "demo_site.h"
#include "faults/fault_schedule.h"
#include "faults/run_records.h"
#include "load/load_runner.h"

#include <mutex>

namespace marigoldladder::fakes {

// The events of a run; its functions may be called by any thread.
class EventLog {
public:
    auto add(RunEventType, std::string subject, std::uint64_t value = 0) -> void;
    auto copy() const -> std::vector<RunEvent>;

private:
    mutable std::mutex m_mutex;
    std::vector<RunEvent> m_events;
};

// The records of an upstream whose process was ended.
struct EndedUpstream {
    std::string m_name;
    nlohmann::json m_records;
};

// The second key of an organisation, which the runs withdraw: its id, and as callers send it.
auto spareKeyId(const OrganisationName&) -> std::string;
auto spareKey(const OrganisationName&) -> std::string;

// What a fault needs to be done and undone.
class FaultActions {
public:
    FaultActions(harness::Deployment&, const LoadPlan&, EventLog&, LoadLog&, std::mutex& nodesMutex);

    auto begin(const Fault&) -> void;
    auto end(const Fault&) -> void;

    // Returns the records of upstreams whose processes were ended, as far as they could be read before.
    auto endedUpstreams() const -> const std::vector<EndedUpstream>& { return m_ended; }

    // Returns how many engines went down by themselves.
    auto crashes() const -> std::uint64_t { return m_crashes; }

private:
    auto nodeOf(const Fault&) -> std::size_t;
    auto upstreamOf(const Fault&, const std::string& kind) const -> const harness::UpstreamPlan&;
    auto engineOf(const Fault&) const -> const std::string&;
    auto killNode(std::size_t index) -> void;
    auto startNode(std::size_t index) -> void;
    auto freezeNode(std::size_t index, bool frozen) -> void;
    auto terminateNode(std::size_t index) -> void;
    auto restartEngine(const std::string& name) -> void;
    auto applyNote(std::size_t node, const nlohmann::json& change) -> bool;
    auto raceOperators() -> void;
    auto setDataCentreOut(const std::string& name, bool out) -> void;
    auto withdrawKey(std::size_t group) -> void;
    auto setUpstreamLeaving(const std::string& name, bool leaving) -> void;
    auto startGreedyCallers(std::size_t group) -> void;
    auto sendCrashingRequest() -> void;
    auto restartCrashedEngines() -> void;

    harness::Deployment& m_deployment;
    const LoadPlan& m_load;
    EventLog& m_events;
    LoadLog& m_calls;
    std::mutex& m_nodesMutex; // Held while nodes are replaced.
    std::vector<std::size_t> m_downNodes; // Ended, to be started again.
    std::unique_ptr<LoadRunner> m_greedyCallers;
    LoadPlan m_greedyPlan;
    std::uint64_t m_crashes = 0;
    std::atomic<std::uint64_t> m_notes { 0 };
    std::vector<EndedUpstream> m_ended;
};

} // namespace marigoldladder::fakes
