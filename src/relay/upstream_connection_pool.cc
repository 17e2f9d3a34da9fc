#include "relay/upstream_connection_pool.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    constexpr auto connectTimeout = Milliseconds(700);
    constexpr auto deadPeerTimeout
        = Milliseconds(2'000); // For upstreams that became unreachable without closing.
    constexpr auto closeMargin = Milliseconds(300); // Before the upstream closes an idle connection.

} // namespace

UpstreamConnection::UpstreamConnection(const Executor& executor)
    : m_stream(executor)
{
}

UpstreamConnectionPool::UpstreamConnectionPool(Executor executor, RelayBoard& board)
    : m_executor(std::move(executor))
    , m_board(board)
{
}

auto UpstreamConnectionPool::acquire(const UpstreamPointer& upstream, bool& refused)
    -> Awaitable<UpstreamConnectionPointer>
{
    const auto now = std::chrono::steady_clock::now();
    if (const auto found = m_idle.find(upstream.get()); found != m_idle.end()) {
        auto& connections = found->second.m_connections;
        while (!connections.empty()) {
            auto connection = std::move(connections.back());
            connections.pop_back();
            if (connection->m_usableUntil > now && isIdle(connection->m_stream.socket()))
                co_return connection;
        }
    }
    auto connection = std::make_unique<UpstreamConnection>(m_executor);
    auto error = ErrorCode();
    m_board.m_metrics.add(Counter::UpstreamConnects);
    co_await connectTo(connection->m_stream, upstream->m_record.m_address, connectTimeout, error);
    refused = error == net::error::connection_refused || error == net::error::connection_reset;
    if (error)
        co_return nullptr;
    setDeadPeerTimeout(connection->m_stream.socket(), deadPeerTimeout);
    co_return connection;
}

auto UpstreamConnectionPool::release(
    const UpstreamPointer& upstream, UpstreamConnectionPointer connection, Milliseconds idleTime) -> void
{
    if (upstream->m_removed || idleTime <= closeMargin)
        return;
    connection->m_stream.expires_never();
    connection->m_usableUntil = std::chrono::steady_clock::now() + idleTime - closeMargin;
    connection->m_reused = true;
    auto& idle = m_idle[upstream.get()];
    idle.m_upstream = upstream;
    idle.m_connections.push_back(std::move(connection));
}

auto UpstreamConnectionPool::closeExpired(MonotonicTime now) -> void
{
    for (auto at = m_idle.begin(); at != m_idle.end();) {
        auto& connections = at->second.m_connections;
        std::erase_if(connections, [&](const auto& connection) { return connection->m_usableUntil <= now; });
        if (at->second.m_upstream->m_removed || connections.empty())
            at = m_idle.erase(at);
        else
            ++at;
    }
}

} // namespace marigoldladder::relay
