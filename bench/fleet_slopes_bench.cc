// What control costs a node as the fleet grows: processor time, memory, bytes to peers and platform calls,
// measured on real idle nodes. Prints one JSON line a figure; the bounds are the users' own.
#include "harness/deployment.h"

#include <chrono>
#include <docopt/docopt.h>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace marigoldladder::harness {

namespace {

    constexpr auto usage = R"(fleet-slopes-bench - measures what control costs a node at several fleet sizes.

Usage:
  fleet_slopes_bench [--seconds N] [--adapters N] [--sizes LIST]

Options:
  --seconds N   How long each fleet is watched [default: 10].
  --adapters N  Adapters in the configuration [default: 3000].
  --sizes LIST  Fleet sizes, separated by commas [default: 3,6,9,18].
)";

    constexpr auto statusOk = 200;
    constexpr auto settleTime = std::chrono::seconds(5);
    constexpr auto noteTimeout = std::chrono::seconds(20);
    constexpr auto userTimeField = 13; // Counted from 0 behind the process's name, as proc(5) lists them.
    constexpr auto bytesPerKilobyte = 1000.0;
    constexpr auto kilobytesPerMegabyte = 1024.0;
    constexpr auto percent = 100.0;

    // What one node has used since its start.
    struct NodeUse {
        double m_processorSeconds = 0;
        double m_memoryMegabytes = 0;
        double m_peerBytes = 0;
        double m_peerMessages = 0;
    };

    struct BenchPlan {
        std::chrono::seconds m_watched { 10 };
        std::size_t m_adapters = 0;
    };

    auto processorSeconds(pid_t pid) -> double
    {
        auto file = std::ifstream("/proc/" + std::to_string(pid) + "/stat");
        auto text = std::string();
        std::getline(file, text);
        auto fields = std::istringstream(text.substr(text.rfind(')') + 2));
        auto skipped = std::string();
        for (auto i = 2; i < userTimeField; ++i)
            fields >> skipped;
        auto user = 0.0;
        auto system = 0.0;
        fields >> user >> system;
        return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    }

    auto memoryMegabytes(pid_t pid) -> double
    {
        auto file = std::ifstream("/proc/" + std::to_string(pid) + "/status");
        auto line = std::string();
        while (std::getline(file, line)) {
            if (line.starts_with("VmRSS:"))
                return std::stod(line.substr(line.find(':') + 1)) / kilobytesPerMegabyte;
        }
        return 0;
    }

    // Returns the value of one counter of a node's /metrics.
    auto counterOf(const RunningNode& node, const std::string& name) -> double
    {
        const auto answer = httplib::Client(node.m_caller.m_host, node.m_caller.m_port).Get("/metrics");
        auto lines = std::istringstream(answer ? answer->body : "");
        auto line = std::string();
        while (std::getline(lines, line)) {
            if (line.starts_with("marigoldladder_" + name + " "))
                return std::stod(line.substr(line.find(' ')));
        }
        return 0;
    }

    auto useOf(const RunningNode& node) -> NodeUse
    {
        const auto pid = node.m_process.pid();
        return { processorSeconds(pid), memoryMegabytes(pid), counterOf(node, "peer_bytes_sent_total"),
            counterOf(node, "peer_messages_sent_total") };
    }

    auto totalUse(Deployment& deployment) -> NodeUse
    {
        auto total = NodeUse();
        for (auto i = std::size_t { 0 }; i < deployment.nodeCount(); ++i) {
            const auto use = useOf(deployment.node(i));
            total.m_processorSeconds += use.m_processorSeconds;
            total.m_memoryMegabytes += use.m_memoryMegabytes;
            total.m_peerBytes += use.m_peerBytes;
            total.m_peerMessages += use.m_peerMessages;
        }
        return total;
    }

    auto print(const std::string& name, std::size_t nodes, double value, const char* unit, double bound)
        -> bool
    {
        auto json = nlohmann::ordered_json { { "name", name + "_at_" + std::to_string(nodes) + "_nodes" },
            { "value", value }, { "unit", unit } };
        if (bound > 0)
            json["bound"] = bound;
        std::cout << json.dump() << std::endl;
        return bound <= 0 || value <= bound;
    }

    auto makePlan(std::size_t nodes) -> DeploymentPlan
    {
        const auto dataCentres = std::vector<std::string> { "bern-a", "bern-b", "olten", "solothurn" };
        auto plan = smallPlan();
        plan.m_nodes.clear();
        for (auto i = std::size_t { 0 }; i < nodes; ++i) {
            const auto& dataCentre = dataCentres[i % dataCentres.size()];
            plan.m_nodes.push_back(
                { dataCentre + "-" + std::to_string(i), dataCentre, nlohmann::json::object() });
        }
        return plan;
    }

    auto measure(std::size_t nodes, const BenchPlan& bench) -> bool
    {
        auto deployment = Deployment(makePlan(nodes));
        const auto up = deployment.waitUntilServing();
        const auto applied = up ? deployment.applyNote(0, basicNote(bench.m_adapters))
                                : httplib::Result(nullptr, httplib::Error::Unknown);
        if (!applied || applied->status != statusOk || !deployment.waitUntilInForce(1, noteTimeout))
            return false;
        std::this_thread::sleep_for(settleTime);
        const auto before = totalUse(deployment);
        const auto callsBefore = deployment.platformStats();
        std::this_thread::sleep_for(bench.m_watched);
        const auto after = totalUse(deployment);
        const auto callsAfter = deployment.platformStats();
        const auto perNodeSecond
            = 1.0 / (static_cast<double>(nodes) * static_cast<double>(bench.m_watched.count()));
        const auto callRate = [&](const char* kind) {
            return (callsAfter[kind].get<double>() - callsBefore[kind].get<double>())
                / static_cast<double>(bench.m_watched.count());
        };
        auto kept = print("control_processor", nodes,
            (after.m_processorSeconds - before.m_processorSeconds) * perNodeSecond * percent, "% of a core",
            2.4);
        kept
            = print("memory", nodes, after.m_memoryMegabytes / static_cast<double>(nodes), "MB", 128) && kept;
        kept = print("peer_bytes", nodes,
                   (after.m_peerBytes - before.m_peerBytes) * perNodeSecond / bytesPerKilobyte, "KB/s", 17)
            && kept;
        kept = print("peer_messages", nodes, (after.m_peerMessages - before.m_peerMessages) * perNodeSecond,
                   "messages/s", 0)
            && kept;
        for (const auto& [kind, calls] : callsAfter["by_kind"].items()) {
            const auto earlier = callsBefore["by_kind"].value(kind, 0.0);
            const auto rate = (calls.get<double>() - earlier) / static_cast<double>(bench.m_watched.count());
            kept = print("platform_calls_for_" + kind, nodes, rate, "calls/s of the fleet", 0) && kept;
        }
        kept = print("platform_reads", nodes, callRate("reads"), "calls/s of the fleet", 0) && kept;
        return print("platform_writes", nodes, callRate("writes"), "calls/s of the fleet", 0) && kept;
    }

    auto readSizes(const std::string& list) -> std::vector<std::size_t>
    {
        auto sizes = std::vector<std::size_t>();
        auto text = std::istringstream(list);
        auto size = std::string();
        while (std::getline(text, size, ','))
            sizes.push_back(std::stoul(size));
        return sizes;
    }

} // namespace

} // namespace marigoldladder::harness

auto main(int argc, char** argv) -> int
{
    using namespace marigoldladder::harness;
    const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    auto plan = BenchPlan();
    plan.m_watched = std::chrono::seconds(arguments.at("--seconds").asLong());
    plan.m_adapters = static_cast<std::size_t>(arguments.at("--adapters").asLong());
    auto kept = true;
    for (const auto size : readSizes(arguments.at("--sizes").asString()))
        kept = measure(size, plan) && kept;
    return kept ? 0 : 1;
}
