#include "relay/upstream_notices.h"

#include "core/log.h"
#include "relay/brittle_pools.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    auto applyLimit(RelayBoard& board, Upstream& upstream, const NamedLimit& limit) -> void
    {
        if (recordLimit(upstream.m_requestLimit, limit))
            board.m_requestLimitChanged(upstream);
    }

    auto applyBrittleness(RelayBoard& board, const Upstream& upstream,
        std::optional<double> refusalsPerSecond, MonotonicTime saidAt) -> void
    {
        const auto& pool = upstream.m_record.m_pool;
        if (!recordBrittleness(board.m_upstreams, pool, refusalsPerSecond, saidAt))
            return;
        logChange(refusalsPerSecond ? "pool_brittle" : "pool_no_longer_brittle",
            { { "pool", pool.value() }, { "upstream", upstream.m_record.m_name.value() },
                { "refusals_per_second", refusalsPerSecond ? std::to_string(*refusalsPerSecond) : "any" } });
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
    if (notices.m_refusalsPerSecond)
        applyBrittleness(board, upstream, notices.m_refusalsPerSecond, now);
}

auto applyRequestAnswerNotices(RelayBoard& board, Upstream& upstream, const UpstreamNotices& notices,
    MonotonicTime sentAt, MonotonicTime now) -> void
{
    applyNotices(board, upstream, notices, now);
    if (!notices.m_requestLimit)
        applyLimit(board, upstream, NamedLimit { std::nullopt, sentAt });
    if (!notices.m_refusalsPerSecond)
        applyBrittleness(board, upstream, std::nullopt, sentAt);
}

} // namespace marigoldladder::relay
