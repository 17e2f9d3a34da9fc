// Runs a site under load through a schedule of faults and gathers the records of all sides.
#pragma once

#include "demo_site.h"
#include "faults/fault_schedule.h"
#include "faults/run_records.h"

namespace marigoldladder::fakes {

struct FaultRunPlan {
    Site m_site;
    nlohmann::json m_firstNote;
    std::uint64_t m_seed = 1;
    std::size_t m_rounds = 4;
};

// Throws `std::runtime_error` when the site does not come up.
auto runFaults(const FaultRunPlan&) -> RunRecords;

} // namespace marigoldladder::fakes
