// Runs all callers of a plan, each on a thread of its own.
#pragma once

#include "core/posix_thread.h"
#include "load/caller.h"

#include <atomic>
#include <list>

namespace marigoldladder::fakes {

// Sends from construction until `stop`.
class LoadRunner {
public:
    LoadRunner(const LoadPlan&, LoadLog&);
    LoadRunner(const LoadRunner&) = delete;
    auto operator=(const LoadRunner&) -> LoadRunner& = delete;
    ~LoadRunner();

    // Lets each caller finish its request.
    auto stop() -> void;

private:
    auto run(Caller&) const -> void;

    std::atomic<bool> m_stopping { false };
    std::list<Caller> m_callers;
    std::list<PosixThread> m_threads;
};

} // namespace marigoldladder::fakes
