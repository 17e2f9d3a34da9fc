// Which version of the upstreams' software began a stream.
//
// Several versions may serve side by side, and what two of them write doesn't fit together, so a stream goes
// on only at the version that began it. The node that forwards a stream's first event knows that version. The
// caller may take the stream up at another node, perhaps because the first one is gone; so a few nodes, drawn
// by the stream's key, keep the version too while a pool has several.
#pragma once

#include "marigoldladder/enum_names.h"
#include "relay/fleet_view.h"
#include "relay/software_history.h"
#include "relay/upstream.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace marigoldladder::relay {

// Callers take up a stream within this time after its beginning, or not at all.
inline constexpr auto streamLifetime = Milliseconds(30'000);

// Identifies a stream in all nodes: a hash of its organisation and of the id of the caller's attempt that
// brought its first event. One organisation's ids don't name streams of another.
using StreamKey = std::uint64_t;

auto streamKeyOf(const OrganisationName&, std::string_view attempt) -> StreamKey;

struct StreamOrigin {
    SoftwareId m_software = 0;
    MonotonicTime m_recordedAt {};
    bool m_isLocal = false; // The stream began at this node.
};

// The origins of streams that began lately, bounded in number.
struct StreamOrigins {
    std::unordered_map<StreamKey, StreamOrigin> m_byKey;
    std::deque<std::pair<MonotonicTime, StreamKey>> m_oldestFirst;
};

// Records an origin and discards those whose streams have ended. The first origin of a stream holds.
auto recordOrigin(StreamOrigins&, StreamKey, StreamOrigin) -> void;

// Returns the software that began the stream, or nothing if this node doesn't know it.
auto findOrigin(const StreamOrigins&, StreamKey, MonotonicTime now) -> std::optional<SoftwareId>;

// Returns the local streams that this software began.
auto localStreamsOf(const StreamOrigins&, SoftwareId, MonotonicTime now) -> std::vector<StreamKey>;

// Returns the software of the upstreams there are.
auto softwareInUse(const UpstreamTable&) -> SoftwareByPool;

// Adds the software that has gone while a stream could have begun that may be taken up now.
auto addFormerSoftware(SoftwareByPool&, const UpstreamTable&, MonotonicTime now) -> void;

// What a node knows of a stream's origin.
struct OriginKnowledge {
    std::optional<SoftwareId> m_software; // That began it; empty: not known.
    std::vector<SoftwareId> m_candidates; // That could have begun it, as far as the node knows.
    bool m_knowsAll = false; // No other software could have begun it.
    Milliseconds m_watchedFor { 0 }; // For how long the node's view of the upstreams has no gap.
};

// By what a stream's origin was found.
enum class OriginSource {
    Unknown,
    ThisNode,
    OtherNode,
    Conclusion, // Only one software could have begun it.
};

inline constexpr auto originSourceNames = std::array {
    EnumName<OriginSource> { OriginSource::Unknown, "unknown" },
    EnumName<OriginSource> { OriginSource::ThisNode, "this_node" },
    EnumName<OriginSource> { OriginSource::OtherNode, "other_node" },
    EnumName<OriginSource> { OriginSource::Conclusion, "conclusion" },
};

// The origin of a stream that a caller takes up, and what the search for it met.
struct FoundOrigin {
    std::optional<SoftwareId> m_software; // Empty: not known.
    OriginSource m_source = OriginSource::Unknown;
    std::size_t m_nodesAsked = 0;
    std::size_t m_nodesAnswered = 0;
    std::size_t m_candidates = 0; // By this node's view and the answers.
    std::size_t m_nodesThatKnowAll = 0; // Of the candidates, this node included.
    Milliseconds m_watchedFor { 0 }; // The longest that one of these nodes has watched without a gap.
};

// Returns the software at which the stream may go on, by what this node and others know; not known if it may
// be one of several, or if none of the nodes knows all that could have begun it.
auto judgeOrigin(const OriginKnowledge& local, const std::vector<OriginKnowledge>& others) -> FoundOrigin;

// Returns the addresses of up to `count` live nodes that keep the stream's origin, in different data centres
// as far as there are. Nodes whose views of the fleet differ a little get nearly the same ones.
auto originKeepers(const FleetView&, StreamKey, std::size_t count, MonotonicTime now) -> std::vector<Address>;

} // namespace marigoldladder::relay
