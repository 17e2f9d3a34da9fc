#include "routing/answer_stream.h"

#include <utility>

namespace marigoldladder {

namespace {

    auto sizeOf(const AnswerEvent& event) -> std::size_t
    {
        const auto* chunk = std::get_if<AnswerChunk>(&event);
        return chunk ? chunk->m_data.size() : 0;
    }

    auto overflowEnd() -> AnswerEnd
    {
        return failedEnd(mayHaveRun(FailureType::UpstreamFailed, "the caller reads too slowly"));
    }

} // namespace

auto AnswerStream::push(AnswerEvent event) -> bool
{
    const auto lock = std::lock_guard(m_mutex);
    if (m_ended)
        return false;
    const auto size = sizeOf(event);
    const auto full = size > 0 && m_waitingBytes > 0 && m_waitingBytes + size > maxWaitingBytes;
    if (full)
        event = overflowEnd();
    else
        m_waitingBytes += size;
    m_ended = std::holds_alternative<AnswerEnd>(event);
    m_events.push_back(std::move(event));
    m_changed.notify_one();
    return !full;
}

auto AnswerStream::pop(MonotonicTime deadline) -> std::optional<AnswerEvent>
{
    auto lock = std::unique_lock(m_mutex);
    if (!m_changed.wait_until(lock, deadline, [this] { return !m_events.empty(); }))
        return std::nullopt;
    auto event = std::move(m_events.front());
    m_events.pop_front();
    m_waitingBytes -= sizeOf(event);
    return event;
}

} // namespace marigoldladder
