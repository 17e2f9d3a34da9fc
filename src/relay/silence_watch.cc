#include "relay/silence_watch.h"

#include <boost/asio/steady_timer.hpp>

namespace marigoldladder::relay {

namespace {

    constexpr auto recheckInterval = Milliseconds(50); // Of a request that could not move.

} // namespace

struct SilenceWatch::State {
    State(tcp_stream& stream, SilenceHandling handling)
        : m_stream(stream)
        , m_handling(std::move(handling))
        , m_timer(stream.get_executor())
    {
    }

    static auto askAfter(const std::shared_ptr<State>&, Milliseconds) -> void;
    auto moves() -> bool;

    tcp_stream& m_stream; // Used only during a wait.
    SilenceHandling m_handling;
    net::steady_timer m_timer;
    std::uint64_t m_wait = 0; // Number of the current wait for bytes.
    bool m_asked = false; // During the current wait.
    bool m_moved = false;
};

auto SilenceWatch::State::askAfter(const std::shared_ptr<State>& state, Milliseconds time) -> void
{
    state->m_timer.expires_after(time);
    state->m_timer.async_wait([state, wait = state->m_wait](ErrorCode error) {
        // The handler of an expired timer may run after the end of its wait.
        if (error || wait != state->m_wait || state->moves())
            return;
        askAfter(state, recheckInterval);
    });
}

// Whether the request moves now. Bytes that have arrived but weren't read yet end the silence.
auto SilenceWatch::State::moves() -> bool
{
    if (!isIdle(m_stream.socket()))
        return false;
    m_asked = true;
    m_moved = m_handling.m_tryMove();
    if (m_moved)
        m_stream.close();
    return m_moved;
}

SilenceWatch::SilenceWatch(tcp_stream& stream, SilenceHandling handling)
    : m_state(std::make_shared<State>(stream, std::move(handling)))
{
}

SilenceWatch::~SilenceWatch()
{
    end(false);
}

auto SilenceWatch::begin(Milliseconds pause) -> void
{
    ++m_state->m_wait;
    if (m_state->m_handling.m_tryMove)
        State::askAfter(m_state, pause);
}

auto SilenceWatch::end(bool heard) -> void
{
    ++m_state->m_wait;
    m_state->m_timer.cancel();
    if (std::exchange(m_state->m_asked, false) && heard && !m_state->m_moved)
        m_state->m_handling.m_stay();
}

auto SilenceWatch::hasMoved() const -> bool
{
    return m_state->m_moved;
}

} // namespace marigoldladder::relay
