// Connections to upstreams that are kept for the next request.
#pragma once

#include "relay/relay_board.h"
#include "relay/tcp.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace marigoldladder::relay {

struct UpstreamConnection {
    explicit UpstreamConnection(const Executor&);
    tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    MonotonicTime m_usableUntil {}; // While idle: when the upstream may close it.
    bool m_reused = false; // Has served a request before.
};

using UpstreamConnectionPointer = std::unique_ptr<UpstreamConnection>;

class UpstreamConnectionPool {
public:
    UpstreamConnectionPool(Executor, RelayBoard&);

    // Returns a kept connection that still looks open, or opens one; a null pointer when that fails.
    // `refused` tells whether nobody listens there.
    auto acquire(const UpstreamPointer&, bool& refused) -> Awaitable<UpstreamConnectionPointer>;

    // Keeps a connection for the next request. `idleTime` is how long the upstream keeps it.
    auto release(const UpstreamPointer&, UpstreamConnectionPointer, Milliseconds idleTime) -> void;

    // Closes what was idle for too long, or leads to an upstream that is gone.
    auto closeExpired(MonotonicTime now) -> void;

private:
    struct Idle {
        UpstreamPointer m_upstream;
        std::vector<UpstreamConnectionPointer> m_connections;
    };

    Executor m_executor;
    RelayBoard& m_board;
    std::unordered_map<const Upstream*, Idle> m_idle;
};

} // namespace marigoldladder::relay
