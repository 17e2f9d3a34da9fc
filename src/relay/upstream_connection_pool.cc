#include "relay/upstream_connection_pool.h"

#include "core/log.h"
#include "relay/blackboard_updates.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    constexpr auto connectTimeout = Milliseconds(700);
    constexpr auto closeMargin = Milliseconds(300); // Before the upstream closes an idle connection.

} // namespace

UpstreamConnection::UpstreamConnection(const Executor& executor)
    : m_stream(executor)
    , m_buffer(answerBufferBytes)
{
}

auto mayEndByBreak(const UpstreamConnection& connection) -> bool
{
    return connection.m_via || connection.m_writeFailed;
}

UpstreamConnectionPool::UpstreamConnectionPool(
    Executor executor, RelayBoard& board, UpstreamConnector& connector)
    : m_executor(std::move(executor))
    , m_board(board)
    , m_connector(connector)
{
}

auto UpstreamConnectionPool::isUsable(const Upstream& upstream, UpstreamConnection& connection) const -> bool
{
    return connection.m_usableUntil > std::chrono::steady_clock::now() && isIdle(connection.m_stream.socket())
        && m_connector.mayUse(upstream, connection.m_via);
}

auto UpstreamConnectionPool::takeIdle(const Upstream& upstream, const std::vector<std::uint64_t>& excluded)
    -> UpstreamConnectionPointer
{
    const auto found = m_idle.find(&upstream);
    if (found == m_idle.end())
        return nullptr;
    auto& connections = found->second.m_connections;
    for (auto at = connections.size(); at-- > 0;) {
        if (std::find(excluded.begin(), excluded.end(), connections[at]->m_number) != excluded.end())
            continue;
        auto connection = std::move(connections[at]);
        connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(at));
        if (isUsable(upstream, *connection))
            return connection;
    }
    return nullptr;
}

auto UpstreamConnectionPool::acquire(const UpstreamPointer& upstream,
    const std::vector<std::uint64_t>& excluded, bool& refused) -> Awaitable<UpstreamConnectionPointer>
{
    if (auto idle = takeIdle(*upstream, excluded))
        co_return idle;
    auto connection = std::make_unique<UpstreamConnection>(m_executor);
    connection->m_number = ++m_opened;
    auto result = co_await m_connector.connect(connection->m_stream, upstream, connectTimeout);
    refused = result.m_outcome == ConnectOutcome::Refused;
    if (result.m_nobodyListens)
        recordNobodyListens(*upstream, std::chrono::steady_clock::now());
    if (result.m_outcome != ConnectOutcome::Connected)
        co_return nullptr;
    connection->m_via = std::move(result.m_via);
    noteAccepted(*upstream);
    co_return connection;
}

auto UpstreamConnectionPool::noteAccepted(Upstream& upstream) -> void
{
    const Pool* pool = nullptr;
    if (m_board.m_configuration) {
        const auto found = m_board.m_configuration->m_pools.find(upstream.m_record.m_pool);
        pool = found == m_board.m_configuration->m_pools.end() ? nullptr : &found->second;
    }
    if (recordAccepted(upstream, pool, std::chrono::steady_clock::now()))
        logChange("upstream_returned", { { "upstream", upstream.m_record.m_name.value() } });
}

auto UpstreamConnectionPool::release(
    const UpstreamPointer& upstream, UpstreamConnectionPointer connection, Milliseconds idleTime) -> void
{
    if (upstream->m_removed || idleTime <= closeMargin)
        return;
    connection->m_deadline.reset();
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
        std::erase_if(connections, [&](const auto& connection) {
            return connection->m_usableUntil <= now
                || !m_connector.mayUse(*at->second.m_upstream, connection->m_via);
        });
        if (at->second.m_upstream->m_removed || connections.empty())
            at = m_idle.erase(at);
        else
            ++at;
    }
}

} // namespace marigoldladder::relay
