// One checker for each of the promises of the brief. Each reads the records of a run, never the system.
#pragma once

#include "faults/run_records.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldladder::fakes {

// How long "within seconds" may take.
inline constexpr auto withinSecondsMs = std::int64_t { 4000 };

// How long callers may go on using an address they were told.
inline constexpr auto addressLifeMs = std::int64_t { 2500 };

enum class CheckOutcome {
    Held,
    Breached,
    NotExercised, // The run held nothing that the promise speaks of.
};

inline constexpr auto checkOutcomeNames = std::array {
    EnumName<CheckOutcome> { CheckOutcome::Held, "held" },
    EnumName<CheckOutcome> { CheckOutcome::Breached, "BREACHED" },
    EnumName<CheckOutcome> { CheckOutcome::NotExercised, "not exercised" },
};

struct CheckReport {
    CheckOutcome m_outcome = CheckOutcome::NotExercised;
    std::vector<std::string> m_breaches; // What was seen, one line each.
};

// A promise with the checker for it.
struct PromiseChecker {
    int m_number = 0; // Its place in the brief's list.
    std::string_view m_promise;
    CheckReport (*m_check)(const RunRecords&) = nullptr;
};

// All checkers, in the order of the brief; the last one is for the request that crashes upstreams, which
// the brief names among what fails.
auto promiseCheckers() -> const std::vector<PromiseChecker>&;

} // namespace marigoldladder::fakes
