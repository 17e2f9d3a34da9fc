// Starts a whole site on loopback, puts its first release note in force, and sends a mixed load.
#include "demo_site.h"

#include "load/load_runner.h"
#include "load/load_summary.h"

#include <chrono>
#include <csignal>
#include <docopt/docopt.h>
#include <iostream>
#include <thread>
#include <unistd.h>

namespace marigoldladder::fakes {

namespace {

    constexpr auto usage = R"(demo - runs a whole site on this machine.

Usage:
  demo --site FILE --note FILE [--seconds N] [--keep]

Options:
  --site FILE  Nodes, pools and organisations.
  --note FILE  The site's first release note.
  --seconds N  How long to send load [default: 10].
  --keep       Send no load; leave the site running until told to stop.
)";

    constexpr auto statusOk = 200;
    constexpr auto noteTimeout = std::chrono::seconds(4);
    constexpr auto progressPeriod = std::chrono::seconds(1);

    using Arguments = std::map<std::string, docopt::value>;

    auto countWhere(const std::vector<LoadRecord>& records, Outcome outcome) -> std::size_t
    {
        auto count = std::size_t { 0 };
        for (const auto& record : records)
            count += record.m_outcome == outcome ? 1 : 0;
        return count;
    }

    auto printProgress(const LoadLog& log, int second) -> void
    {
        const auto records = log.copy();
        std::cout << "  " << second << " s: " << records.size() << " requests, "
                  << countWhere(records, Outcome::Served) << " served, "
                  << countWhere(records, Outcome::Refused) << " refused" << std::endl;
    }

    auto sendLoad(const Site& site, std::chrono::seconds duration) -> int
    {
        auto log = LoadLog();
        auto runner = LoadRunner(site.m_load, log);
        for (auto second = 1; second <= duration.count(); ++second) {
            std::this_thread::sleep_for(progressPeriod);
            printProgress(log, second);
        }
        runner.stop();
        const auto records = log.copy();
        printSummary(std::cout, summarise(records));
        for (const auto& record : records) {
            if (record.m_outcome == Outcome::Wrong || record.m_outcome == Outcome::Cut
                || record.m_outcome == Outcome::Lost)
                std::cout << toJson(record).dump() << "\n";
        }
        return countWhere(records, Outcome::Wrong) == 0 ? 0 : 1;
    }

    // Puts the site's first note in force on every node.
    auto applyFirstNote(harness::Deployment& deployment, const nlohmann::json& note) -> bool
    {
        const auto applied = deployment.applyNote(0, note);
        if (!applied || applied->status != statusOk) {
            std::cerr << "the release note was refused: " << (applied ? applied->body : "no answer") << "\n";
            return false;
        }
        const auto revision = nlohmann::json::parse(applied->body).value("revision", Revision { 0 });
        return deployment.waitUntilInForce(revision, noteTimeout);
    }

    // Prints how to use the running site, and waits for the signal to stop it.
    auto keepRunning(harness::Deployment& deployment, const Site& site) -> int
    {
        const auto& group = site.m_load.m_groups.front();
        const auto caller = formatAddress(deployment.node(0).m_caller);
        std::cout << "\nNodes (callers):\n";
        for (auto i = std::size_t { 0 }; i < deployment.nodeCount(); ++i)
            std::cout << "  " << deployment.node(i).m_plan.m_vm << "  "
                      << formatAddress(deployment.node(i).m_caller) << "\n";
        std::cout << "\nKey of " << group.m_organisation.value() << ": " << group.m_key << "\n"
                  << "\nA first request:\n  curl -s http://" << caller
                  << "/v1/completions -H 'Authorization: Bearer " << group.m_key
                  << "' -d '{\"model\":\"adapter-0@1\",\"prompt\":\"water under the floor\"}'\n"
                  << "\nThe operators' client:\n  build/marigoldctl status --node "
                  << formatAddress(deployment.node(0).m_operator) << " --credential-file "
                  << deployment.credentialFile() << "\n\nTo stop everything: kill " << getpid()
                  << ", or press Ctrl-C here." << std::endl;
        auto signals = sigset_t {};
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        auto received = 0;
        sigwait(&signals, &received);
        return 0;
    }

    auto run(const Arguments& arguments) -> int
    {
        auto site = readSite(arguments.at("--site").asString());
        const auto note = readFirstNote(arguments.at("--note").asString(), site);
        std::cout << "Starting " << site.m_deployment.m_nodes.size() << " nodes and "
                  << site.m_deployment.m_upstreams.size() << " upstreams in " << site.m_dataCentres.size()
                  << " data centres..." << std::endl;
        auto deployment = harness::Deployment(site.m_deployment);
        if (!deployment.waitUntilServing() || !applyFirstNote(deployment, note)) {
            std::cerr << "the site did not come up\n";
            return 1;
        }
        std::cout << "The first release note is in force on every node." << std::endl;
        if (arguments.at("--keep").asBool())
            return keepRunning(deployment, site);
        for (auto i = std::size_t { 0 }; i < deployment.nodeCount(); ++i)
            site.m_load.m_nodes.push_back(deployment.node(i).m_caller);
        return sendLoad(site, std::chrono::seconds(arguments.at("--seconds").asLong()));
    }

    // Blocks the signals that stop a kept site in every thread, so that the main thread can wait for them.
    auto blockStopSignals() -> void
    {
        auto signals = sigset_t {};
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    }

} // namespace

} // namespace marigoldladder::fakes

auto main(int argc, char** argv) -> int
{
    using namespace marigoldladder;
    const auto arguments = docopt::docopt(fakes::usage, { argv + 1, argv + argc });
    if (arguments.at("--keep").asBool())
        fakes::blockStopSignals();
    try {
        return fakes::run(arguments);
    } catch (const std::exception& error) {
        std::cerr << "demo: " << error.what() << "\n";
        return 1;
    }
}
