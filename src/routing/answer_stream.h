// A queue that carries an answer's events from whoever produces them to the thread that serves the caller.
//
// Its memory is bounded: when a slow caller lets it fill up, it drops what comes and ends with a failure
// after which the answer can be resumed at the next event. Producers never wait, since one of them serves
// all exchanges of a connection.
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
    // How much may wait for the caller; one event by itself may be larger.
    static constexpr auto maxWaitingBytes = std::size_t { 256 } * 1024;

    // Takes an event in; false when it was dropped, because the stream is full or has ended.
    auto push(AnswerEvent) -> bool;

    // Waits for the next event; nothing when none came until the deadline.
    auto pop(MonotonicTime deadline) -> std::optional<AnswerEvent>;

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<AnswerEvent> m_events;
    std::size_t m_waitingBytes = 0;
    bool m_ended = false;
};

} // namespace marigoldladder
