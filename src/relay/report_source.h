// Who observed what nodes report to each other, so that no report goes round in circles.
#pragma once

namespace marigoldladder::relay {

enum class ReportSource {
    Self,
    LocalPeer, // A node in this node's data centre.
    RemotePeer,
};

// Whose observations a message contains.
enum class ReportScope {
    Self,
    DataCentre, // This node's and those of the other nodes in its data centre.
};

constexpr auto isInScope(ReportSource source, ReportScope scope) -> bool
{
    return source == ReportSource::Self
        || (scope == ReportScope::DataCentre && source == ReportSource::LocalPeer);
}

} // namespace marigoldladder::relay
