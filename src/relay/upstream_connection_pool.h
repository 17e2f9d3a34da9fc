// Pools connections to upstreams, so that requests reuse them.
#pragma once

#include "relay/connection_deadline.h"
#include "relay/upstream_connector.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace marigoldladder::relay {

struct UpstreamConnection {
    explicit UpstreamConnection(const Executor&);
    tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<ConnectionDeadline> m_deadline; // Of the request that it serves; empty: it is idle.
    MonotonicTime m_usableUntil {}; // While idle: before the upstream is expected to close it.
    bool m_reused = false; // Has served a request before.
    // A write failed. It took the connection's error, so that a read tells no break from an end any more.
    bool m_writeFailed = false;
    std::uint64_t m_number = 0; // Of the connections that the pool opened.
    // The start of the run that answers on it, in Unix milliseconds, as that run states it; 0: it states
    // none. Empty: it wasn't asked.
    std::optional<std::uint64_t> m_runStartedAt;
    std::optional<VmName> m_via; // The peer that carries it; empty: it is direct.
};

// Whether the connection's end may be a break. That of a tunnel may be the end of the peer that carries it.
auto mayEndByBreak(const UpstreamConnection&) -> bool;

using UpstreamConnectionPointer = std::unique_ptr<UpstreamConnection>;

class UpstreamConnectionPool {
public:
    UpstreamConnectionPool(Executor, RelayBoard&, UpstreamConnector&);

    // Returns an idle connection that is still open, or opens one; null on failure. It is none of `excluded`,
    // which are numbers of connections. `refused` is set to whether a new connection was refused, as when no
    // process listens at the address.
    auto acquire(const UpstreamPointer&, const std::vector<std::uint64_t>& excluded, bool& refused)
        -> Awaitable<UpstreamConnectionPointer>;

    // Returns a connection to the pool. `idleTime`: how long the upstream keeps it open while idle.
    auto release(const UpstreamPointer&, UpstreamConnectionPointer, Milliseconds idleTime) -> void;

    // Whether this peer carries connections for this node.
    auto isCarrier(const VmName& peer) const -> bool { return m_connector.isCarrier(peer); }

    // Closes connections that were idle for too long, those through a peer that needn't or can't carry them
    // any more, and those to upstreams that left the list.
    auto closeExpired(MonotonicTime now) -> void;

    // A process has accepted a connection that may be another run than before: then it counts as cold.
    auto noteAccepted(Upstream&) -> void;

private:
    struct Idle {
        UpstreamPointer m_upstream;
        std::vector<UpstreamConnectionPointer> m_connections;
    };

    auto takeIdle(const Upstream&, const std::vector<std::uint64_t>& excluded) -> UpstreamConnectionPointer;

    auto isUsable(const Upstream&, UpstreamConnection&) const -> bool;

    Executor m_executor;
    RelayBoard& m_board;
    UpstreamConnector& m_connector;
    std::unordered_map<const Upstream*, Idle> m_idle;
    std::uint64_t m_opened = 0;
};

} // namespace marigoldladder::relay
