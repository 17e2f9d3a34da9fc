#include "relay/upstream_notices.h"

#include "core/log.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    auto applyLimit(RelayBoard& board, Upstream& upstream, const NamedLimit& limit) -> void
    {
        if (recordLimit(upstream.m_requestLimit, limit))
            board.m_requestLimitChanged(upstream);
    }

} // namespace

auto applyNotices(RelayBoard& board, Upstream& upstream, const UpstreamNotices& notices, MonotonicTime now)
    -> void
{
    if (notices.m_leaving && !upstream.m_record.m_leaving) {
        upstream.m_record.m_leaving = true;
        logChange("upstream_leaving", { { "upstream", upstream.m_record.m_name.value() } });
    }
    if (notices.m_coldLeft && notices.m_coldLeft->count() > 0)
        upstream.m_coldUntil = std::max(upstream.m_coldUntil, now + *notices.m_coldLeft);
    if (notices.m_retryAfter)
        upstream.m_pausedUntil = std::max(upstream.m_pausedUntil, now + *notices.m_retryAfter);
    if (notices.m_requestLimit)
        applyLimit(board, upstream, NamedLimit { notices.m_requestLimit, now });
}

auto applyRequestAnswerNotices(RelayBoard& board, Upstream& upstream, const UpstreamNotices& notices,
    MonotonicTime sentAt, MonotonicTime now) -> void
{
    applyNotices(board, upstream, notices, now);
    if (!notices.m_requestLimit)
        applyLimit(board, upstream, NamedLimit { std::nullopt, sentAt });
}

} // namespace marigoldladder::relay
