#include "relay/request_limit_exchange.h"

#include "relay/peer_message.h"

#include <algorithm>
#include <cmath>

namespace marigoldladder::relay {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr auto updateInterval = Milliseconds(200);
    constexpr auto answerTimeout = Milliseconds(80);
    constexpr auto unansweredRetryAfter = Milliseconds(250);
    constexpr auto minRetryAfter = Milliseconds(10);
    constexpr auto maxRetryAfter = Milliseconds(5'000);

    auto ageOf(const NamedLimit& limit, MonotonicTime now) -> Milliseconds
    {
        return std::max(std::chrono::duration_cast<Milliseconds>(now - limit.m_namedAt), Milliseconds(0));
    }

} // namespace

RequestLimitExchange::RequestLimitExchange(Executor executor, const RelaySettings& settings,
    RelayBoard& board, PeerSocket& socket, Incarnation incarnation)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_board(board)
    , m_socket(socket)
    , m_pendingPermits(incarnation)
    , m_random(std::random_device()())
{
}

auto RequestLimitExchange::start(std::function<bool()> isReady) -> void
{
    m_isReady = std::move(isReady);
    runLoop(m_executor, "request_limits", m_board.m_metrics, [this] { return updatePeriodically(); });
}

auto RequestLimitExchange::updatePeriodically() -> Awaitable<void>
{
    for (;;) {
        update();
        co_await sleepFor(updateInterval);
    }
}

auto RequestLimitExchange::update() -> void
{
    const auto now = Clock::now();
    const auto paused = wasPaused(m_ownership);
    const auto self = ShardCandidate { m_settings.m_vm, m_settings.m_processorShare, m_isReady() };
    updateOwnership(m_ownership, m_board.m_fleet, self, now);
    for (const auto& [name, upstream] : m_board.m_upstreams.m_upstreams) {
        if (paused)
            upstream->m_requestLimit.m_shards = {};
        updateShards(*upstream, now);
    }
}

auto RequestLimitExchange::updateShards(Upstream& upstream, MonotonicTime now) const -> void
{
    auto& state = upstream.m_requestLimit;
    const auto count = isLimited(state) ? limitShardCount(*state.m_limit.m_requestsPerSecond) : 0;
    for (auto shard = std::size_t { 0 }; shard < state.m_shards.size(); ++shard) {
        const auto isOwned = shard < count
            && limitShardOwner(m_ownership.m_candidates, upstream.m_record.m_name, shard) == m_settings.m_vm;
        setShardOwned(state.m_shards.at(shard), isOwned, now);
    }
}

auto RequestLimitExchange::acquire(UpstreamPointer upstream) -> Awaitable<bool>
{
    auto& state = upstream->m_requestLimit;
    if (!isLimited(state))
        co_return true;
    const auto shards = limitShardCount(*state.m_limit.m_requestsPerSecond);
    const auto first = m_random() % shards;
    auto isGranted = false;
    auto retryAfter = maxRetryAfter;
    for (auto index = std::size_t { 0 }; index < shards && !isGranted; ++index) {
        const auto asking = RaisedFlag(state.m_isAsking);
        const auto permit = co_await ask(*upstream, (first + index) % shards);
        isGranted = permit.m_isGranted;
        retryAfter = std::min(retryAfter, permit.m_retryAfter);
    }
    if (!isGranted)
        state.m_closedUntil = Clock::now() + std::max(retryAfter, minRetryAfter);
    // Requests that waited for this one's answer can ask now.
    m_board.m_capacityChanged();
    co_return isGranted;
}

auto RequestLimitExchange::ask(Upstream& upstream, std::size_t shard) -> Awaitable<LimitPermit>
{
    const auto owner = limitShardOwner(m_ownership.m_candidates, upstream.m_record.m_name, shard);
    if (!owner)
        co_return LimitPermit { false, unansweredRetryAfter };
    if (*owner == m_settings.m_vm)
        co_return grantPermit(upstream.m_requestLimit, shard, m_ownership.m_fleetShare, Clock::now());
    const auto peer = m_board.m_fleet.m_peers.find(*owner);
    if (peer == m_board.m_fleet.m_peers.end())
        co_return LimitPermit { false, unansweredRetryAfter };
    const auto address = peer->second.m_peerAddress;
    co_return co_await askPeer(address, upstream, shard);
}

auto RequestLimitExchange::askPeer(const Address& address, const Upstream& upstream, std::size_t shard)
    -> Awaitable<LimitPermit>
{
    const auto& limit = upstream.m_requestLimit.m_limit;
    auto request = messages::PermitRequestT();
    request.number = m_pendingPermits.nextNumber();
    request.upstream = shortId(upstream.m_record.m_name.value());
    request.shard = static_cast<std::uint8_t>(shard);
    request.requests_per_second = limit.m_requestsPerSecond.value_or(0);
    request.age_ms = static_cast<std::uint32_t>(ageOf(limit, Clock::now()).count());
    m_socket.send(address, encodeDatagram(request));
    const auto permit = co_await m_pendingPermits.waitFor(request.number, answerTimeout);
    co_return permit.value_or(LimitPermit { false, unansweredRetryAfter });
}

// The sender may know a newer limit than this node, or one that this node doesn't know at all.
auto RequestLimitExchange::answerTo(const messages::PermitRequest& request) -> LimitPermit
{
    const auto found = m_board.m_upstreams.m_byShortId.find(request.upstream());
    if (found == m_board.m_upstreams.m_byShortId.end())
        return { false, unansweredRetryAfter };
    auto& upstream = *found->second;
    const auto rate = request.requests_per_second();
    const auto now = Clock::now();
    if (std::isfinite(rate) && rate >= 0) {
        const auto namedAt = now - Milliseconds(request.age_ms());
        if (recordLimit(upstream.m_requestLimit, NamedLimit { rate, namedAt, ReportSource::RemotePeer }))
            m_board.m_requestLimitChanged(upstream);
    }
    return grantPermit(upstream.m_requestLimit, request.shard(), m_ownership.m_fleetShare, now);
}

auto RequestLimitExchange::handle(const messages::PermitRequest& request, const Address& from) -> void
{
    const auto permit = answerTo(request);
    auto answer = messages::PermitAnswerT();
    answer.number = request.number();
    answer.granted = permit.m_isGranted;
    answer.retry_after_ms = static_cast<std::uint32_t>(permit.m_retryAfter.count());
    m_socket.send(from, encodeDatagram(answer));
}

auto RequestLimitExchange::handle(const messages::PermitAnswer& answer) -> void
{
    const auto retryAfter = std::min(Milliseconds(answer.retry_after_ms()), maxRetryAfter);
    m_pendingPermits.receive(answer.number(), LimitPermit { answer.granted(), retryAfter });
}

} // namespace marigoldladder::relay
