#include "relay/connection_deadline.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>

namespace marigoldladder::relay {

namespace {

    using Clock = std::chrono::steady_clock;

    // For bytes that had arrived by the deadline, as during a suspension of the whole process.
    constexpr auto timeToReadArrived = std::chrono::milliseconds(100);
    constexpr auto recheckInterval = std::chrono::milliseconds(10);

} // namespace

struct ConnectionDeadline::State {
    explicit State(tcp_stream& stream)
        : m_stream(stream)
        , m_timer(stream.get_executor())
    {
    }

    static auto closeAt(const std::shared_ptr<State>&, MonotonicTime) -> void;
    auto isDue() -> bool;

    tcp_stream& m_stream; // Used only until the end.
    net::steady_timer m_timer;
    std::optional<MonotonicTime> m_readUntil; // Set once the deadline has passed.
    bool m_expired = false;
    bool m_ended = false;
};

auto ConnectionDeadline::State::isDue() -> bool
{
    const auto now = Clock::now();
    if (!m_readUntil)
        m_readUntil = now + timeToReadArrived;
    return now >= *m_readUntil || isIdle(m_stream.socket());
}

auto ConnectionDeadline::State::closeAt(const std::shared_ptr<State>& state, MonotonicTime at) -> void
{
    state->m_timer.expires_at(at);
    state->m_timer.async_wait([state](ErrorCode error) {
        // The handler of an expired timer may run after the end.
        if (error || state->m_ended)
            return;
        if (!state->isDue()) {
            closeAt(state, Clock::now() + recheckInterval);
            return;
        }
        state->m_expired = true;
        state->m_stream.close();
    });
}

ConnectionDeadline::ConnectionDeadline(tcp_stream& stream, MonotonicTime at)
    : m_state(std::make_shared<State>(stream))
{
    State::closeAt(m_state, at);
}

ConnectionDeadline::~ConnectionDeadline()
{
    end();
}

auto ConnectionDeadline::end() -> void
{
    m_state->m_ended = true;
    m_state->m_timer.cancel();
}

auto ConnectionDeadline::expired() const -> bool
{
    return m_state->m_expired;
}

} // namespace marigoldladder::relay
