// Ends the pending read of a connection after a time, but leaves the connection open. Reads that are over at
// once, as bytes are always there, aren't ended: their loop has to ask whether the time is up.
//
// A stream's own timeout closes its socket: bytes that arrived at that moment are lost, and no refusal can be
// sent any more.
#pragma once

#include "relay/tcp.h"

#include <chrono>
#include <memory>

namespace marigoldladder::relay {

class ReadTimeout {
public:
    // The timeout ends at the latest with this object. The stream must have no timeout of its own.
    ReadTimeout(tcp_stream&, std::chrono::milliseconds);
    ~ReadTimeout();
    ReadTimeout(const ReadTimeout&) = delete;
    auto operator=(const ReadTimeout&) -> ReadTimeout& = delete;

    // Whether the time is up. Reads that wait end with `operation_aborted` from then on.
    auto expired() const -> bool;

private:
    struct State;
    std::shared_ptr<State> m_state; // Shared with the timer's handlers.
};

} // namespace marigoldladder::relay
