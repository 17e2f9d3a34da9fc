// What an owner remembers of the tries of requests that reached it, so that an entry which lost the
// connection to it can ask what became of one.
//
// The owner of a try that it never saw marks it as dead: should the try's frame still arrive, it is
// refused. Only that makes "not run" true.
#pragma once

#include "core/blackboard.h"
#include "marigoldladder/verdict.h"

#include <chrono>
#include <deque>
#include <unordered_map>

namespace marigoldladder {

enum class AttemptState {
    Waiting,
    Started, // May have reached the upstream.
    EndedNotRun,
    Ended,
    Dead, // Asked for before it arrived, and refused since.
};

struct AttemptLog {
    struct Row {
        RequestId m_id;
        MonotonicTime m_enteredAt {};
    };

    std::unordered_map<RequestId, AttemptState> m_states;
    std::deque<Row> m_order; // Oldest first.
    std::size_t m_bound = std::size_t { 1 } << 16;
    MonotonicTime m_forgottenUntil {}; // When the youngest try that was forgotten had been entered.
};

// Longer than any try of a request can be under way.
inline constexpr auto longestAttempt = std::chrono::minutes(5);

// Enters a try that arrived. Returns the state it was known in before; nothing for a new one.
auto enterAttempt(AttemptLog&, const RequestId&, MonotonicTime now) -> std::optional<AttemptState>;

auto noteAttempt(AttemptLog&, const RequestId&, AttemptState) -> void;

// Tells what became of a try, and marks one never seen as dead.
auto resolveAttempt(AttemptLog&, const RequestId&, MonotonicTime now) -> Verdict;

} // namespace marigoldladder
