// Watches for the silence of an upstream during a call, and ends the call if the request can go on elsewhere.
#pragma once

#include "relay/relay_board.h"
#include "relay/tcp.h"

#include <functional>
#include <memory>

namespace marigoldladder::relay {

// What is done about an upstream that is silent for longer than a pause.
struct SilenceHandling {
    // Returns whether the request goes on at another upstream now; its call to this one is ended then. Asked
    // again and again during the silence. Empty: the request stays.
    std::function<bool()> m_tryMove;
    std::function<void()> m_stay; // The upstream is no longer silent, so the request stays.
};

class SilenceWatch {
public:
    SilenceWatch(tcp_stream&, SilenceHandling);
    ~SilenceWatch();
    SilenceWatch(const SilenceWatch&) = delete;
    auto operator=(const SilenceWatch&) -> SilenceWatch& = delete;

    // To be called before and after each wait for bytes of the upstream. `heard`: bytes came, so that the
    // request stays if it was to move.
    auto begin(Milliseconds pause) -> void;
    auto end(bool heard) -> void;

    // Whether the request goes on at another upstream. The connection is closed then.
    auto hasMoved() const -> bool;

private:
    struct State;
    std::shared_ptr<State> m_state; // Shared with the timer's handlers.
};

} // namespace marigoldladder::relay
