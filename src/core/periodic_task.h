// Runs a controller again and again on a thread of its own until told to stop.
#pragma once

#include "core/posix_thread.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>

namespace marigoldladder {

// Calls `step` at once and then `period` after each return. `wake` brings the next call forward.
class PeriodicTask {
public:
    PeriodicTask(const std::string& name, std::chrono::milliseconds period, std::function<void()> step);
    PeriodicTask(const PeriodicTask&) = delete;
    auto operator=(const PeriodicTask&) -> PeriodicTask& = delete;
    ~PeriodicTask();

    auto wake() -> void;

    // Lets a running step finish, then ends the thread.
    auto stop() -> void;

private:
    auto run() -> void;

    std::chrono::milliseconds m_period;
    std::function<void()> m_step;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_woken = false;
    bool m_stopping = false;
    PosixThread m_thread; // Last: it uses all the others.
};

} // namespace marigoldladder
