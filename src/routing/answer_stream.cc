#include "routing/answer_stream.h"

#include <utility>

namespace marigoldladder {

auto AnswerStream::push(AnswerEvent event) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_events.push_back(std::move(event));
    m_changed.notify_one();
}

auto AnswerStream::pop(MonotonicTime deadline) -> std::optional<AnswerEvent>
{
    auto lock = std::unique_lock(m_mutex);
    if (!m_changed.wait_until(lock, deadline, [this] { return !m_events.empty(); }))
        return std::nullopt;
    auto event = std::move(m_events.front());
    m_events.pop_front();
    return event;
}

} // namespace marigoldladder
