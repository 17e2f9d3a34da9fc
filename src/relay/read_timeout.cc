#include "relay/read_timeout.h"

#include <boost/asio/steady_timer.hpp>

namespace marigoldladder::relay {

namespace {

    // A read that consists of several may begin the next one just after the pending one was ended.
    constexpr auto repeatInterval = std::chrono::milliseconds(20);

} // namespace

struct ReadTimeout::State {
    explicit State(tcp_stream& stream)
        : m_stream(stream)
        , m_timer(stream.get_executor())
    {
    }

    static auto cancelAfter(const std::shared_ptr<State>&, std::chrono::milliseconds) -> void;

    tcp_stream& m_stream; // Used only until the end.
    net::steady_timer m_timer;
    bool m_expired = false;
    bool m_ended = false;
};

auto ReadTimeout::State::cancelAfter(const std::shared_ptr<State>& state, std::chrono::milliseconds time)
    -> void
{
    state->m_timer.expires_after(time);
    state->m_timer.async_wait([state](ErrorCode error) {
        // The handler of an expired timer may run after the end.
        if (error || state->m_ended)
            return;
        state->m_expired = true;
        state->m_stream.cancel();
        cancelAfter(state, repeatInterval);
    });
}

ReadTimeout::ReadTimeout(tcp_stream& stream, std::chrono::milliseconds time)
    : m_state(std::make_shared<State>(stream))
{
    State::cancelAfter(m_state, time);
}

ReadTimeout::~ReadTimeout()
{
    m_state->m_ended = true;
    m_state->m_timer.cancel();
}

auto ReadTimeout::expired() const -> bool
{
    return m_state->m_expired;
}

} // namespace marigoldladder::relay
