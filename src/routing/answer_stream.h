// A queue that carries an answer's events from whoever produces them to the thread that serves the caller.
#pragma once

#include "core/blackboard.h"
#include "routing/serve_call.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>

namespace marigoldladder {

class AnswerStream {
public:
    auto push(AnswerEvent) -> void;

    // Waits for the next event; nothing when none came until the deadline.
    auto pop(MonotonicTime deadline) -> std::optional<AnswerEvent>;

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<AnswerEvent> m_events;
};

} // namespace marigoldladder
