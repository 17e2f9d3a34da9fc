#include "relay/open_connections.h"

namespace marigoldladder::relay {

OpenConnections::OpenConnections(std::size_t most, Metrics& metrics)
    : m_most(most)
    , m_metrics(metrics)
{
}

auto OpenConnections::touch(const std::shared_ptr<tcp_stream>& stream) -> void
{
    remove(stream);
    m_longestSilentFirst.push_back(stream);
    while (m_longestSilentFirst.size() > m_most) {
        if (const auto silent = m_longestSilentFirst.front().lock()) {
            silent->close();
            m_metrics.add(Counter::ConnectionsWithoutRoom);
        }
        m_longestSilentFirst.pop_front();
    }
}

auto OpenConnections::remove(const std::shared_ptr<tcp_stream>& stream) -> void
{
    m_longestSilentFirst.remove_if(
        [&](const std::weak_ptr<tcp_stream>& entry) { return entry.expired() || entry.lock() == stream; });
}

} // namespace marigoldladder::relay
