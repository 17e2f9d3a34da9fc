// Runs a site through seeded faults and checks every promise of the brief on the records.
#include "faults/checkers.h"
#include "faults/fault_run.h"
#include "load/load_summary.h"

#include <docopt/docopt.h>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>

namespace marigoldladder::fakes {

namespace {

    constexpr auto usage = R"(fault-tests - runs a site through seeded faults and checks every promise.

Usage:
  fault-tests --site FILE --note FILE [--seed N] [--seeds N] [--rounds N] [--adapters N] [--records FILE]

Options:
  --site FILE     Nodes, pools and organisations.
  --note FILE     The site's first release note.
  --seed N        The first seed [default: 1].
  --seeds N       How many seeds to run, one after the other [default: 1].
  --rounds N      Rounds of one or two faults each [default: 4].
  --adapters N    Adapters in use, the most popular first [default: 200].
  --records FILE  Where to write the callers' records and the events, as JSON lines.

Exit codes: 0 no promise was breached, 1 one was, 2 usage.
)";

    constexpr auto breachesShown = std::size_t { 3 };
    constexpr auto breachLength = std::size_t { 400 };
    constexpr auto promiseWidth = 32;

    using Arguments = std::map<std::string, docopt::value>;

    auto writeRecords(const std::string& path, std::uint64_t seed, const RunRecords& run) -> void
    {
        auto file = std::ofstream(path, std::ios::app);
        for (const auto& event : run.m_events) {
            file << nlohmann::json { { "seed", seed }, { "at_ms", event.m_atMs },
                { "event", nameOf(runEventTypeNames, event.m_type) }, { "subject", event.m_subject },
                { "value", event.m_value } }
                        .dump()
                 << "\n";
        }
        for (const auto& call : run.m_calls) {
            auto json = toJson(call);
            json["seed"] = seed;
            file << json.dump() << "\n";
        }
    }

    // Prints a line for each promise; returns how many were breached.
    auto printReport(const RunRecords& run) -> int
    {
        auto breached = 0;
        for (const auto& checker : promiseCheckers()) {
            const auto report = checker.m_check(run);
            std::cout << std::right << std::setw(4) << checker.m_number << "  " << std::left
                      << std::setw(promiseWidth) << checker.m_promise
                      << nameOf(checkOutcomeNames, report.m_outcome);
            if (!report.m_breaches.empty())
                std::cout << " (" << report.m_breaches.size() << ")";
            std::cout << "\n";
            for (auto i = std::size_t { 0 }; i < std::min(breachesShown, report.m_breaches.size()); ++i)
                std::cout << "        " << report.m_breaches[i].substr(0, breachLength) << "\n";
            breached += report.m_outcome == CheckOutcome::Breached ? 1 : 0;
        }
        return breached;
    }

    auto run(const Arguments& arguments) -> int
    {
        auto plan = FaultRunPlan();
        plan.m_site = readSite(arguments.at("--site").asString());
        plan.m_site.m_load.m_adapters = static_cast<std::size_t>(arguments.at("--adapters").asLong());
        plan.m_firstNote = readFirstNote(arguments.at("--note").asString(), plan.m_site);
        plan.m_rounds = static_cast<std::size_t>(arguments.at("--rounds").asLong());
        const auto first = static_cast<std::uint64_t>(arguments.at("--seed").asLong());
        const auto seeds = static_cast<std::uint64_t>(arguments.at("--seeds").asLong());
        auto breached = 0;
        for (auto seed = first; seed < first + seeds; ++seed) {
            plan.m_seed = seed;
            std::cout << "seed " << seed << std::endl;
            const auto records = runFaults(plan);
            printSummary(std::cout, summarise(records.m_calls));
            breached += printReport(records);
            std::cout << std::flush;
            if (arguments.at("--records"))
                writeRecords(arguments.at("--records").asString(), seed, records);
        }
        std::cout << (breached == 0 ? "no promise was breached\n"
                                    : "run a breached seed again with --seed N\n");
        return breached == 0 ? 0 : 1;
    }

} // namespace

} // namespace marigoldladder::fakes

auto main(int argc, char** argv) -> int
{
    using namespace marigoldladder;
    const auto arguments = docopt::docopt(fakes::usage, { argv + 1, argv + argc });
    try {
        return fakes::run(arguments);
    } catch (const std::exception& error) {
        std::cerr << "fault-tests: " << error.what() << "\n";
        return 2;
    }
}
