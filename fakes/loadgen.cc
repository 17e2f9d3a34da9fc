// The caller: asks any node which addresses to use, connects itself, and checks every answer.
#include "load/load_runner.h"
#include "load/load_summary.h"

#include <chrono>
#include <docopt/docopt.h>
#include <iostream>
#include <thread>

namespace marigoldladder::fakes {

namespace {

    constexpr auto usage = R"(loadgen - sends a mix of requests and checks every answer.

Usage:
  loadgen --node ADDRESS --key KEY [options]

Options:
  --node ADDRESS       The caller address of any node.
  --key KEY            An organisation's key.
  --organisation NAME  The organisation's name, for the summary [default: organisation].
  --data-centre NAME   Where the callers stand [default: ].
  --callers N          Callers at once [default: 8].
  --seconds N          How long to send [default: 5].
  --adapters N         Adapters named adapter-0@1 and so on [default: 20].
  --max-tokens N       Tokens to generate for each request [default: 8].
  --seed N             Seed of the mix [default: 1].

Exit codes: 0 every answer was whole and right or a refusal, 1 otherwise, 2 usage.
)";

    using Arguments = std::map<std::string, docopt::value>;

    auto readPlan(const Arguments& arguments, const Address& node) -> LoadPlan
    {
        auto group = CallerGroup();
        group.m_organisation = OrganisationName(arguments.at("--organisation").asString());
        group.m_key = arguments.at("--key").asString();
        group.m_dataCentre = DataCentreName(arguments.at("--data-centre").asString());
        group.m_callers = static_cast<std::size_t>(arguments.at("--callers").asLong());
        group.m_maxTokens = static_cast<int>(arguments.at("--max-tokens").asLong());
        auto plan = LoadPlan();
        plan.m_nodes = { node };
        plan.m_groups = { group };
        plan.m_adapters = static_cast<std::size_t>(arguments.at("--adapters").asLong());
        plan.m_seed = static_cast<std::uint64_t>(arguments.at("--seed").asLong());
        return plan;
    }

    auto run(const LoadPlan& plan, std::chrono::seconds duration) -> int
    {
        auto log = LoadLog();
        auto runner = LoadRunner(plan, log);
        std::this_thread::sleep_for(duration);
        runner.stop();
        const auto summaries = summarise(log.copy());
        printSummary(std::cout, summaries);
        for (const auto& [name, summary] : summaries) {
            if (summary.m_wrong + summary.m_cut + summary.m_lost > 0)
                return 1;
        }
        return 0;
    }

} // namespace

} // namespace marigoldladder::fakes

auto main(int argc, char** argv) -> int
{
    using namespace marigoldladder;
    const auto arguments = docopt::docopt(fakes::usage, { argv + 1, argv + argc });
    const auto node = parseAddress(arguments.at("--node").asString());
    if (!node) {
        std::cerr << "--node must be an IP number and a port\n";
        return 2;
    }
    return fakes::run(
        fakes::readPlan(arguments, *node), std::chrono::seconds(arguments.at("--seconds").asLong()));
}
