// The connections of a port that are bounded in number: for one more, the one of which nothing was heard for
// longest is closed.
#pragma once

#include "core/metrics.h"
#include "relay/tcp.h"

#include <cstddef>
#include <list>
#include <memory>

namespace marigoldladder::relay {

class OpenConnections {
public:
    OpenConnections(std::size_t most, Metrics&);

    // Counts the connection as just heard of.
    auto touch(const std::shared_ptr<tcp_stream>&) -> void;
    // From now on it isn't bounded here.
    auto remove(const std::shared_ptr<tcp_stream>&) -> void;

private:
    std::size_t m_most;
    Metrics& m_metrics;
    std::list<std::weak_ptr<tcp_stream>> m_longestSilentFirst; // Those that ended are dropped by and by.
};

} // namespace marigoldladder::relay
