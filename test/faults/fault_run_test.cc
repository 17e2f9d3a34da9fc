// A short run of a whole site through faults drawn from a fixed seed.
#include "faults/checkers.h"
#include "faults/fault_run.h"

#include <gtest/gtest.h>

namespace marigoldladder::fakes {
namespace {

    TEST(FaultRunTest, BreachesNoPromise)
    {
        const auto folder = std::string(MARIGOLDLADDER_SOURCE) + "/samples/mittelland/";
        auto plan = FaultRunPlan();
        plan.m_site = readSite(folder + "site.json");
        plan.m_site.m_load.m_adapters = 100;
        plan.m_firstNote = readFirstNote(folder + "release_note.json", plan.m_site);
        plan.m_seed = 2;
        plan.m_rounds = 1;
        std::cout << "seed " << plan.m_seed << "\n";
        const auto records = runFaults(plan);
        EXPECT_GT(records.m_calls.size(), 10U) << "expected callers to be answered";
        for (const auto& checker : promiseCheckers()) {
            const auto report = checker.m_check(records);
            EXPECT_EQ(report.m_breaches, std::vector<std::string>()) << "promise " << checker.m_number;
        }
    }

} // namespace
} // namespace marigoldladder::fakes
