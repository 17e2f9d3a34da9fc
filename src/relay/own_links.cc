#include "relay/own_links.h"

#include <algorithm>
#include <utility>

namespace marigoldladder::relay {

namespace {

    constexpr auto tryInterval = Milliseconds(1'000); // Of a path that counts as blocked.
    constexpr auto minBlockedPaths = std::size_t { 2 }; // One alone may be the upstream's own trouble.

} // namespace

auto isStranded(const OwnLinks& links, std::size_t upstreams) -> bool
{
    return !links.m_blocked.empty() && links.m_blocked.size() >= std::min(minBlockedPaths, upstreams);
}

auto isPathBlocked(const OwnLinks& links, const Upstream& upstream, std::size_t upstreams) -> bool
{
    return upstream.m_pathBlocked || isStranded(links, upstreams);
}

auto beginTry(OwnLinks& links, Upstream& upstream, MonotonicTime now) -> bool
{
    auto& nextTryAt = upstream.m_pathBlocked ? upstream.m_nextPathTryAt : links.m_nextTryAt;
    if (now < nextTryAt)
        return false;
    nextTryAt = now + tryInterval;
    return true;
}

auto recordReached(OwnLinks& links, Upstream& upstream) -> void
{
    links.m_blocked.clear();
    upstream.m_pathBlocked = false;
}

auto recordBlocked(OwnLinks& links, Upstream& upstream, bool isSilent, MonotonicTime now) -> void
{
    links.m_areSilent = isSilent;
    links.m_blocked.insert(upstream.m_record.m_name);
    upstream.m_pathBlocked = true;
    upstream.m_nextPathTryAt = now + tryInterval;
}

} // namespace marigoldladder::relay
