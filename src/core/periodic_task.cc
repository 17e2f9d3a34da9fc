#include "core/periodic_task.h"

#include <utility>

namespace marigoldladder {

PeriodicTask::PeriodicTask(
    const std::string& name, std::chrono::milliseconds period, std::function<void()> step)
    : m_period(period)
    , m_step(std::move(step))
    , m_thread(name, [this] { run(); })
{
}

PeriodicTask::~PeriodicTask()
{
    stop();
}

auto PeriodicTask::wake() -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_woken = true;
    m_changed.notify_all();
}

auto PeriodicTask::stop() -> void
{
    {
        const auto lock = std::lock_guard(m_mutex);
        m_stopping = true;
        m_changed.notify_all();
    }
    m_thread.join();
}

auto PeriodicTask::run() -> void
{
    auto lock = std::unique_lock(m_mutex);
    while (!m_stopping) {
        m_woken = false;
        lock.unlock();
        m_step();
        lock.lock();
        m_changed.wait_for(lock, m_period, [this] { return m_stopping || m_woken; });
    }
}

} // namespace marigoldladder
