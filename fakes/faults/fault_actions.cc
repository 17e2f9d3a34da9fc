#include "faults/fault_actions.h"

#include "engine_completions.h"
#include "fake_server.h"

#include <algorithm>
#include <csignal>
#include <thread>
#include <utility>

namespace marigoldladder::fakes {

namespace {

    constexpr auto statusOk = 200;
    constexpr auto statusAccepted = 202;
    constexpr auto slowPlatformMs = 800;
    constexpr auto lostReplies = 3;
    constexpr auto drainTimeoutMs = 60'000;
    constexpr auto greedyFactor = std::size_t { 5 };
    constexpr auto crashTries = 6;
    constexpr auto crashTimeout = std::chrono::seconds(10);

    auto nodeAddress(const harness::RunningNode& node) -> std::string
    {
        return formatAddress(node.m_caller);
    }

} // namespace

auto EventLog::add(RunEventType type, std::string subject, std::uint64_t value) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_events.push_back({ wallClockMilliseconds(), type, std::move(subject), value });
}

auto EventLog::copy() const -> std::vector<RunEvent>
{
    const auto lock = std::lock_guard(m_mutex);
    return m_events;
}

auto spareKeyId(const OrganisationName& organisation) -> std::string
{
    return organisation.value() + "-spare";
}

auto spareKey(const OrganisationName& organisation) -> std::string
{
    return spareKeyId(organisation) + ".spare-secret-of-" + organisation.value();
}

FaultActions::FaultActions(harness::Deployment& deployment, const LoadPlan& load, EventLog& events,
    LoadLog& calls, std::mutex& nodesMutex)
    : m_deployment(deployment)
    , m_load(load)
    , m_events(events)
    , m_calls(calls)
    , m_nodesMutex(nodesMutex)
{
}

auto FaultActions::nodeOf(const Fault& fault) -> std::size_t
{
    return fault.m_target % m_deployment.nodeCount();
}

auto FaultActions::upstreamOf(const Fault& fault, const std::string& kind) const
    -> const harness::UpstreamPlan&
{
    auto matching = std::vector<const harness::UpstreamPlan*>();
    for (const auto& upstream : m_deployment.plan().m_upstreams) {
        if (kind.empty() || upstream.m_kind == kind)
            matching.push_back(&upstream);
    }
    return *matching.at(fault.m_target % matching.size());
}

auto FaultActions::engineOf(const Fault& fault) const -> const std::string&
{
    return upstreamOf(fault, "engine").m_name;
}

auto FaultActions::begin(const Fault& fault) -> void
{
    m_events.add(RunEventType::FaultBegun, std::string(nameOf(faultKindNames, fault.m_kind)), fault.m_target);
    const auto& upstream = upstreamOf(fault, "").m_name;
    switch (fault.m_kind) {
    case FaultKind::KillNode:
        return killNode(nodeOf(fault));
    case FaultKind::FreezeNode:
        return freezeNode(nodeOf(fault), true);
    case FaultKind::TerminateNode:
        return terminateNode(nodeOf(fault));
    case FaultKind::RestartEngine:
        return restartEngine(engineOf(fault));
    case FaultKind::PlatformDown:
        return m_deployment.setPlatformFault({ { "mode", "down" } });
    case FaultKind::PlatformHang:
        return m_deployment.setPlatformFault({ { "mode", "hang" } });
    case FaultKind::PlatformSlow:
        return m_deployment.setPlatformFault({ { "delay_ms", slowPlatformMs } });
    case FaultKind::PlatformLosesReplies:
        return m_deployment.setPlatformFault({ { "lose_replies", lostReplies } });
    case FaultKind::CutPeers:
        return m_deployment.node(nodeOf(fault)).m_peerProxy.cut();
    case FaultKind::SilencePeers:
        return m_deployment.node(nodeOf(fault)).m_peerProxy.silence();
    case FaultKind::CutUpstream:
        return m_deployment.upstreamProxy(upstream).cut();
    case FaultKind::SilenceUpstream:
        return m_deployment.upstreamProxy(upstream).silence();
    case FaultKind::DropUpstreamReplies:
        return m_deployment.upstreamProxy(upstream).setMode("drop_replies");
    case FaultKind::DataCentreOut:
        return setDataCentreOut(upstreamOf(fault, "engine").m_dataCentre, true);
    case FaultKind::UpstreamLeaves:
        return setUpstreamLeaving(engineOf(fault), true);
    case FaultKind::WithdrawKey:
        return withdrawKey(fault.m_target % m_load.m_groups.size());
    case FaultKind::OperatorsRace:
        return raceOperators();
    case FaultKind::GreedyOrganisation:
        return startGreedyCallers(fault.m_target % m_load.m_groups.size());
    case FaultKind::CrashingRequest:
        return sendCrashingRequest();
    }
}

auto FaultActions::end(const Fault& fault) -> void
{
    switch (fault.m_kind) {
    case FaultKind::KillNode:
    case FaultKind::TerminateNode:
        startNode(nodeOf(fault));
        break;
    case FaultKind::FreezeNode:
        freezeNode(nodeOf(fault), false);
        break;
    case FaultKind::PlatformDown:
    case FaultKind::PlatformHang:
    case FaultKind::PlatformSlow:
    case FaultKind::PlatformLosesReplies:
        m_deployment.setPlatformFault({ { "mode", "up" }, { "delay_ms", 0 }, { "lose_replies", 0 } });
        break;
    case FaultKind::DropUpstreamReplies:
        m_deployment.upstreamProxy(upstreamOf(fault, "").m_name).setMode("pass");
        break;
    case FaultKind::DataCentreOut:
        setDataCentreOut(upstreamOf(fault, "engine").m_dataCentre, false);
        break;
    case FaultKind::UpstreamLeaves:
        setUpstreamLeaving(engineOf(fault), false);
        break;
    case FaultKind::GreedyOrganisation:
        m_greedyCallers.reset();
        break;
    case FaultKind::CrashingRequest:
        restartCrashedEngines();
        break;
    case FaultKind::RestartEngine:
    case FaultKind::CutPeers:
    case FaultKind::SilencePeers:
    case FaultKind::CutUpstream:
    case FaultKind::SilenceUpstream:
    case FaultKind::WithdrawKey:
    case FaultKind::OperatorsRace:
        break;
    }
    m_events.add(RunEventType::FaultEnded, std::string(nameOf(faultKindNames, fault.m_kind)), fault.m_target);
}

auto FaultActions::killNode(std::size_t index) -> void
{
    const auto lock = std::lock_guard(m_nodesMutex);
    m_events.add(RunEventType::NodeKilled, nodeAddress(m_deployment.node(index)));
    m_deployment.node(index).m_process.kill();
    m_downNodes.push_back(index);
}

auto FaultActions::terminateNode(std::size_t index) -> void
{
    const auto address = nodeAddress(m_deployment.node(index));
    m_events.add(RunEventType::NodeTerminated, address);
    m_deployment.node(index).m_process.terminate(drainTimeoutMs);
    m_events.add(RunEventType::NodeEnded, address);
    m_downNodes.push_back(index);
}

// Starts the node again if a fault ended it and no other has started it since.
auto FaultActions::startNode(std::size_t index) -> void
{
    const auto lock = std::lock_guard(m_nodesMutex);
    const auto found = std::find(m_downNodes.begin(), m_downNodes.end(), index);
    if (found == m_downNodes.end())
        return;
    m_downNodes.erase(std::remove(m_downNodes.begin(), m_downNodes.end(), index), m_downNodes.end());
    m_deployment.restartNode(index);
    m_events.add(RunEventType::NodeStarted, nodeAddress(m_deployment.node(index)));
}

auto FaultActions::freezeNode(std::size_t index, bool frozen) -> void
{
    const auto lock = std::lock_guard(m_nodesMutex);
    auto& node = m_deployment.node(index);
    if (!frozen)
        node.m_process.signal(SIGCONT);
    m_events.add(frozen ? RunEventType::NodeFrozen : RunEventType::NodeResumed, nodeAddress(node));
    if (frozen)
        node.m_process.signal(SIGSTOP);
}

auto FaultActions::restartEngine(const std::string& name) -> void
{
    m_ended.push_back({ name, m_deployment.upstreamRecords(name) });
    m_deployment.restartUpstream(name);
}

// Hands a note with one change to a node; returns whether it is in force, recorded or not.
auto FaultActions::applyNote(std::size_t node, const nlohmann::json& change) -> bool
{
    const auto id = "fault-note-" + std::to_string(++m_notes);
    const auto answer = m_deployment.applyNote(node % m_deployment.nodeCount(),
        { { "note_id", id }, { "changes", nlohmann::json::array({ change }) } });
    if (!answer || (answer->status != statusOk && answer->status != statusAccepted))
        return false;
    const auto body = nlohmann::json::parse(answer->body, nullptr, false);
    if (answer->status == statusOk && body.is_object() && body.contains("revision"))
        m_events.add(RunEventType::RevisionAccepted, id, body["revision"].get<std::uint64_t>());
    return true;
}

// Two operators at two nodes change the same organisation at the same time.
auto FaultActions::raceOperators() -> void
{
    const auto& name = m_load.m_groups.front().m_organisation.value();
    const auto change = [&](int rate) {
        return nlohmann::json { { "put", "route" }, { "name", "raced-" + name }, { "pool", "raced" },
            { "cost_tokens", rate } };
    };
    auto other = std::thread([&] { applyNote(1, change(1)); });
    applyNote(2, change(2));
    other.join();
}

auto FaultActions::setDataCentreOut(const std::string& name, bool out) -> void
{
    const auto change = nlohmann::json { { out ? "put" : "withdraw", "drain" }, { "scope", "data_centre" },
        { "name", name } };
    if (!out)
        m_events.add(RunEventType::DataCentreIn, name); // In force before its answer comes back.
    for (auto node = std::size_t { 0 }; node < m_deployment.nodeCount(); ++node) {
        if (!applyNote(node, change))
            continue;
        if (out)
            m_events.add(RunEventType::DataCentreOut, name);
        return;
    }
}

auto FaultActions::setUpstreamLeaving(const std::string& name, bool leaving) -> void
{
    m_deployment.setUpstreamState(name, leaving ? "leaving" : "live");
    m_events.add(leaving ? RunEventType::UpstreamLeaving : RunEventType::UpstreamBack, name);
}

auto FaultActions::withdrawKey(std::size_t group) -> void
{
    const auto& organisation = m_load.m_groups.at(group).m_organisation;
    const auto change = nlohmann::json { { "withdraw", "key" }, { "id", spareKeyId(organisation) } };
    for (auto node = std::size_t { 0 }; node < m_deployment.nodeCount(); ++node) {
        if (!applyNote(node, change))
            continue;
        m_events.add(RunEventType::KeyWithdrawn, spareKey(organisation));
        return;
    }
}

auto FaultActions::startGreedyCallers(std::size_t group) -> void
{
    m_greedyPlan = m_load;
    auto greedy = m_load.m_groups.at(group);
    greedy.m_callers *= greedyFactor;
    greedy.m_meanThinkTime = {};
    greedy.m_mix = { 1, 1, 0, 0 };
    m_greedyPlan.m_groups = { greedy };
    m_greedyCallers = std::make_unique<LoadRunner>(m_greedyPlan, m_calls);
}

// Sends the same request again and again to one node after the other, as a caller would.
auto FaultActions::sendCrashingRequest() -> void
{
    const auto& group = m_load.m_groups.front();
    const auto body
        = nlohmann::json { { "model", "adapter-0@1" }, { "prompt", crashMarker }, { "max_tokens", 4 } };
    for (auto i = 0; i < crashTries; ++i) {
        const auto index = static_cast<std::size_t>(i) % m_deployment.nodeCount();
        auto client = harness::makeCaller(m_deployment.node(index).m_caller, group.m_key);
        client.set_read_timeout(crashTimeout);
        (void)client.Post("/v1/completions", body.dump(), "application/json");
    }
}

auto FaultActions::restartCrashedEngines() -> void
{
    for (const auto& upstream : m_deployment.plan().m_upstreams) {
        if (!m_deployment.upstream(upstream.m_name).hasEnded())
            continue;
        ++m_crashes;
        m_deployment.restartUpstream(upstream.m_name);
    }
}

} // namespace marigoldladder::fakes
