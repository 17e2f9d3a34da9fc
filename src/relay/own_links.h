// What a node's own attempts to connect say of its links to upstreams: functions of state and time, without
// I/O.
//
// A connect that fails says that this node doesn't reach the upstream, not that the upstream is down. Its
// path to the upstream counts as blocked if another node reaches the upstream meanwhile. A node that found
// several paths blocked, and none open since, is stranded: it takes all of them for blocked, so that no
// further request waits for a connect that will fail.
#pragma once

#include "relay/upstream.h"

#include <cstddef>
#include <set>

namespace marigoldladder::relay {

struct OwnLinks {
    std::set<UpstreamName> m_blocked; // Found so since this node last reached an upstream by itself.
    bool m_areSilent = false; // The last blocked path gave no sign, so connections on it may be silent too.
    MonotonicTime m_nextTryAt {}; // While stranded: of any upstream whose own path wasn't found blocked.
};

// Whether this node reaches none of its upstreams by itself, as far as it knows. `upstreams`: how many it
// has.
auto isStranded(const OwnLinks&, std::size_t upstreams) -> bool;

// Whether this node's path to the upstream was found blocked, or counts as blocked as it is stranded.
auto isPathBlocked(const OwnLinks&, const Upstream&, std::size_t upstreams) -> bool;

// Whether it is time to try a path again that counts as blocked; the next time is set then.
auto beginTry(OwnLinks&, Upstream&, MonotonicTime now) -> bool;

// This node reached the upstream by itself.
auto recordReached(OwnLinks&, Upstream&) -> void;

// This node failed to reach the upstream by itself, and another node reached it. `isSilent`: the connect got
// no answer, not even a refusal.
auto recordBlocked(OwnLinks&, Upstream&, bool isSilent, MonotonicTime now) -> void;

} // namespace marigoldladder::relay
