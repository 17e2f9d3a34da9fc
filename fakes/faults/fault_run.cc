#include "faults/fault_run.h"

#include "core/periodic_task.h"
#include "fake_server.h"
#include "faults/fault_actions.h"
#include "load/load_runner.h"

#include <algorithm>
#include <iostream>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace marigoldladder::fakes {

namespace {

    constexpr auto statusOk = 200;
    constexpr auto noteTimeout = std::chrono::seconds(10);
    constexpr auto warmUp = std::chrono::seconds(2);
    constexpr auto shortFault = std::chrono::seconds(3);
    constexpr auto longFault
        = std::chrono::seconds(8); // Long enough to see what comes after the seconds allowed.
    constexpr auto settling = std::chrono::seconds(3);
    constexpr auto samplePeriod = std::chrono::milliseconds(250);
    constexpr auto callersPerGroup = std::size_t { 3 };

    auto addSpareKeys(FaultRunPlan& plan) -> void
    {
        auto spare = std::vector<CallerGroup>();
        for (auto& group : plan.m_site.m_load.m_groups) {
            group.m_callers = std::min(group.m_callers, callersPerGroup);
            plan.m_firstNote["changes"].push_back({ { "put", "key" },
                { "id", spareKeyId(group.m_organisation) }, { "organisation", group.m_organisation.value() },
                { "secret",
                    spareKey(group.m_organisation).substr(spareKeyId(group.m_organisation).size() + 1) } });
            auto other = group;
            other.m_callers = 1;
            other.m_key = spareKey(group.m_organisation);
            spare.push_back(std::move(other));
        }
        auto& groups = plan.m_site.m_load.m_groups;
        groups.insert(groups.end(), spare.begin(), spare.end());
    }

    auto addIntruder(LoadPlan& load) -> void
    {
        auto intruder = load.m_groups.front();
        intruder.m_organisation = OrganisationName("intruder");
        intruder.m_key += "-guessed";
        intruder.m_callers = 1;
        intruder.m_meanThinkTime = std::chrono::milliseconds(200);
        intruder.m_mix.m_lookups = 0;
        load.m_groups.push_back(std::move(intruder));
    }

    auto readRates(const nlohmann::json& note) -> std::vector<OrganisationRate>
    {
        auto rates = std::vector<OrganisationRate>();
        for (const auto& change : note.at("changes")) {
            if (change.value("put", "") == "organisation")
                rates.push_back({ OrganisationName(change.at("name").get<std::string>()),
                    change.at("tokens_per_second"), change.at("burst_tokens") });
        }
        return rates;
    }

    auto readSecrets(const LoadPlan& load) -> std::vector<std::string>
    {
        auto secrets = std::vector<std::string>();
        for (const auto& group : load.m_groups)
            secrets.push_back(group.m_key.substr(group.m_key.find('.') + 1));
        return secrets;
    }

    // Adds one upstream's own records to the run's.
    auto takeRecords(const harness::UpstreamPlan& upstream, const nlohmann::json& records, RunRecords& run)
        -> void
    {
        if (!records.is_object())
            return;
        for (const auto& entry : records.value("requests", nlohmann::json::array())) {
            const auto headers = entry.value("headers", nlohmann::json::object());
            const auto path = entry.value("path", "");
            run.m_requests.push_back({ UpstreamName(upstream.m_name), DataCentreName(upstream.m_dataCentre),
                entry.value("at_ms", std::int64_t { 0 }), path, RequestId(headers.value("X-Request-Id", "")),
                OrganisationName(headers.value("X-Organisation", "")), entry.dump() });
        }
        const auto runsByKey = records.value("runs", nlohmann::json::object());
        for (const auto& [key, runs] : runsByKey.items())
            run.m_runs[IdempotencyKey(key)] += runs.get<int>();
        run.m_evictedInUse += records.value("evicted_in_use", std::uint64_t { 0 });
        run.m_overloads += records.value("overloaded", std::uint64_t { 0 });
    }

    auto planOf(const harness::DeploymentPlan& plan, const std::string& name) -> const harness::UpstreamPlan&
    {
        return *std::find_if(plan.m_upstreams.begin(), plan.m_upstreams.end(),
            [&](const auto& upstream) { return upstream.m_name == name; });
    }

    // Requests that an upstream is asked for by callers; orders and questions of the nodes are left out.
    auto isCallersWork(const UpstreamRequest& request) -> bool
    {
        return request.m_path.find("lora_adapter") == std::string::npos && request.m_path != "/v1/models"
            && request.m_path != "/health";
    }

    auto holdLength(const FaultRound& round) -> std::chrono::seconds
    {
        const auto needsLong = [](const Fault& fault) {
            return fault.m_kind == FaultKind::DataCentreOut || fault.m_kind == FaultKind::UpstreamLeaves
                || fault.m_kind == FaultKind::WithdrawKey;
        };
        return std::any_of(round.m_faults.begin(), round.m_faults.end(), needsLong) ? longFault : shortFault;
    }

    auto describe(const FaultRound& round) -> std::string
    {
        auto text = std::string();
        for (const auto& fault : round.m_faults)
            text += (text.empty() ? "" : " + ") + std::string(nameOf(faultKindNames, fault.m_kind));
        return text;
    }

    // One run: the deployment, its load, and those who watch it.
    class FaultRun {
    public:
        explicit FaultRun(const FaultRunPlan& plan)
            : m_plan(plan)
            , m_deployment(m_plan.m_site.m_deployment)
        {
        }

        auto run() -> RunRecords;

    private:
        auto bringUp() -> void;
        auto takeSamples() -> void;
        auto gather(const FaultActions&) -> RunRecords;

        FaultRunPlan m_plan;
        harness::Deployment m_deployment;
        EventLog m_events;
        LoadLog m_calls;
        std::mutex m_nodesMutex;
        std::vector<RevisionSample> m_samples;
    };

    auto FaultRun::bringUp() -> void
    {
        const auto up = m_deployment.waitUntilServing();
        const auto applied = up ? m_deployment.applyNote(0, m_plan.m_firstNote)
                                : httplib::Result(nullptr, httplib::Error::Unknown);
        if (!applied || applied->status != statusOk)
            throw std::runtime_error(
                "the site did not come up: " + (applied ? applied->body : std::string("no answer")));
        const auto revision = nlohmann::json::parse(applied->body).value("revision", Revision { 0 });
        if (!m_deployment.waitUntilInForce(revision, noteTimeout))
            throw std::runtime_error("the first note did not come in force everywhere");
        for (auto i = std::size_t { 0 }; i < m_deployment.nodeCount(); ++i)
            m_plan.m_site.m_load.m_nodes.push_back(m_deployment.node(i).m_caller);
    }

    // Asks every node which revision is in force there. Frozen and ended nodes give no sample.
    auto FaultRun::takeSamples() -> void
    {
        const auto lock = std::lock_guard(m_nodesMutex);
        for (auto i = std::size_t { 0 }; i < m_deployment.nodeCount(); ++i) {
            const auto at = wallClockMilliseconds();
            if (const auto revision = m_deployment.revisionAt(i))
                m_samples.push_back({ at, formatAddress(m_deployment.node(i).m_caller), *revision });
        }
    }

    auto FaultRun::run() -> RunRecords
    {
        bringUp();
        auto actions = FaultActions(m_deployment, m_plan.m_site.m_load, m_events, m_calls, m_nodesMutex);
        auto sampler = PeriodicTask("sampler", samplePeriod, [this] { takeSamples(); });
        auto load = LoadRunner(m_plan.m_site.m_load, m_calls);
        std::this_thread::sleep_for(warmUp);
        for (const auto& round : drawSchedule(m_plan.m_seed, m_plan.m_rounds)) {
            std::cerr << "  " << describe(round) << std::endl;
            for (const auto& fault : round.m_faults)
                actions.begin(fault);
            std::this_thread::sleep_for(holdLength(round));
            for (const auto& fault : round.m_faults)
                actions.end(fault);
            std::this_thread::sleep_for(settling);
        }
        load.stop();
        sampler.stop();
        return gather(actions);
    }

    auto FaultRun::gather(const FaultActions& actions) -> RunRecords
    {
        auto run = RunRecords();
        const auto& plan = m_plan.m_site.m_deployment;
        for (const auto& ended : actions.endedUpstreams())
            takeRecords(planOf(plan, ended.m_name), ended.m_records, run);
        for (const auto& upstream : plan.m_upstreams)
            takeRecords(upstream, m_deployment.upstreamRecords(upstream.m_name), run);
        run.m_requests.erase(std::remove_if(run.m_requests.begin(), run.m_requests.end(),
                                 [](const auto& request) { return !isCallersWork(request); }),
            run.m_requests.end());
        run.m_crashes = actions.crashes();
        run.m_calls = m_calls.copy();
        run.m_events = m_events.copy();
        run.m_samples = m_samples;
        run.m_rates = readRates(m_plan.m_firstNote);
        run.m_secrets = readSecrets(m_plan.m_site.m_load);
        return run;
    }

} // namespace

auto runFaults(const FaultRunPlan& plan) -> RunRecords
{
    auto prepared = plan;
    prepared.m_site.m_deployment.m_proxyPlatform = true;
    prepared.m_site.m_deployment.m_proxyPeers = true;
    prepared.m_site.m_deployment.m_proxyUpstreams = true;
    prepared.m_site.m_load.m_seed = plan.m_seed;
    addSpareKeys(prepared);
    addIntruder(prepared.m_site.m_load);
    return FaultRun(prepared).run();
}

} // namespace marigoldladder::fakes
