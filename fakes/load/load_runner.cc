#include "load/load_runner.h"

#include <thread>

namespace marigoldladder::fakes {

LoadRunner::LoadRunner(const LoadPlan& plan, LoadLog& log)
{
    auto seed = plan.m_seed;
    for (const auto& group : plan.m_groups) {
        for (auto i = std::size_t { 0 }; i < group.m_callers; ++i)
            m_callers.emplace_back(plan, group, ++seed, log);
    }
    for (auto& caller : m_callers)
        m_threads.emplace_back("caller", [this, &caller] { run(caller); });
}

LoadRunner::~LoadRunner()
{
    stop();
}

auto LoadRunner::stop() -> void
{
    m_stopping = true;
    for (auto& thread : m_threads)
        thread.join();
}

auto LoadRunner::run(Caller& caller) const -> void
{
    while (!m_stopping) {
        caller.sendOne();
        std::this_thread::sleep_for(caller.thinkTime());
    }
}

} // namespace marigoldladder::fakes
