// Ends a connection at a moment, whether or not a read or a write waits on it then.
//
// A stream's own timeout ends only an operation that waits. While bytes are always there, each read is over
// before the timeout's handler runs, and none ever times out.
#pragma once

#include "core/blackboard.h"
#include "relay/tcp.h"

#include <memory>

namespace marigoldladder::relay {

class ConnectionDeadline {
public:
    // The connection is closed at `at`, and later by a moment if bytes that have arrived weren't read yet.
    // The stream must outlive this object or its `end`.
    ConnectionDeadline(tcp_stream&, MonotonicTime at);
    ~ConnectionDeadline();
    ConnectionDeadline(const ConnectionDeadline&) = delete;
    auto operator=(const ConnectionDeadline&) -> ConnectionDeadline& = delete;

    // Leaves the connection open from now on.
    auto end() -> void;

    // Whether the connection was closed at the deadline.
    auto expired() const -> bool;

private:
    struct State;
    std::shared_ptr<State> m_state; // Shared with the timer's handlers.
};

} // namespace marigoldladder::relay
