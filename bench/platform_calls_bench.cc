// How often an idle fleet calls the platform about its members and VMs, by the platform's own counters.
//
// Real nodes run against the stand-in. The calls a second must not grow with the nodes beyond the readers.
#include "fleet/discovery_controller.h"
#include "harness/deployment.h"

#include <array>
#include <iostream>
#include <thread>

namespace {

using namespace marigoldladder;

constexpr auto fleetSizes = std::array { 3U, 6U, 9U };
constexpr auto settleTime = std::chrono::seconds(4);
constexpr auto countedTime = std::chrono::seconds(8);

// Each reader keeps one watch open; the others look once in half a minute at the most.
constexpr auto longestGlancePause = 30.0;

auto makePlan(unsigned nodes) -> harness::DeploymentPlan
{
    auto plan = harness::smallPlan();
    plan.m_nodes.clear();
    for (auto i = 0U; i < nodes; ++i)
        plan.m_nodes.push_back({ "entry-" + std::to_string(i), i % 2 == 0 ? "bern-a" : "olten" });
    return plan;
}

auto boundFor(unsigned nodes) -> double
{
    const auto watches = std::chrono::duration<double>(countedTime) / watchDuration + 1;
    const auto seconds = std::chrono::duration<double>(countedTime).count();
    const auto readers = std::min<std::size_t>(nodes, platformReaders);
    return static_cast<double>(readers) * watches / seconds + nodes / longestGlancePause;
}

auto measure(unsigned nodes) -> bool
{
    auto deployment = harness::Deployment(makePlan(nodes));
    if (!deployment.waitUntilServing())
        return false;
    std::this_thread::sleep_for(settleTime);
    const auto before = deployment.platformStats()["by_kind"];
    std::this_thread::sleep_for(countedTime);
    const auto after = deployment.platformStats()["by_kind"];
    auto withinBounds = true;
    for (const auto& [kind, count] : after.items()) {
        const auto calls = count.get<double>() - before.value(kind, 0.0);
        const auto value = calls / std::chrono::duration<double>(countedTime).count();
        const auto member = kind == "vms" || kind == "nodes";
        auto line = nlohmann::json { { "name", kind + "_calls_" + std::to_string(nodes) + "_nodes" },
            { "value", value }, { "unit", "calls/s" } };
        if (member)
            line["bound"] = boundFor(nodes);
        std::cout << line.dump() << std::endl;
        withinBounds = withinBounds && (!member || value <= boundFor(nodes));
    }
    return withinBounds;
}

} // namespace

auto main() -> int
{
    auto withinBounds = true;
    for (const auto nodes : fleetSizes)
        withinBounds = measure(nodes) && withinBounds;
    return withinBounds ? 0 : 1;
}
