// How long to wait before a failed call to the platform is tried again.
//
// The wait is drawn at random below a ceiling that doubles with each failure in a row, so that nodes which
// failed together do not come back together.
#pragma once

#include <chrono>
#include <random>

namespace marigoldladder {

struct Backoff {
    std::chrono::milliseconds m_first { 100 }; // The ceiling after one failure.
    std::chrono::milliseconds m_most { 3000 }; // The highest ceiling, also the longest wait.
    unsigned m_failures = 0; // In a row.
};

// Counts one more failure and returns the time to wait, from half of the first ceiling up to the present one.
auto waitAfterFailure(Backoff&, std::mt19937_64&) -> std::chrono::milliseconds;

// Forgets the failures.
auto noteSuccess(Backoff&) -> void;

} // namespace marigoldladder
