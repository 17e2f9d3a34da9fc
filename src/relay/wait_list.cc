#include "relay/wait_list.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace marigoldladder::relay {

namespace {

    using Clock = std::chrono::steady_clock;

    // How often waiting requests are rechecked without a notified change. Peers send their counts at about
    // this interval.
    constexpr auto recheckInterval = std::chrono::milliseconds(50);

} // namespace

UpstreamSlot::UpstreamSlot(RelayBoard& board, UpstreamPointer upstream, double tokens)
    : m_board(&board)
    , m_upstream(std::move(upstream))
    , m_tokens(tokens)
{
    ++m_upstream->m_inFlight;
    m_upstream->m_tokensInFlight += tokens;
}

UpstreamSlot::UpstreamSlot(UpstreamSlot&& other) noexcept
    : m_board(other.m_board)
    , m_upstream(std::move(other.m_upstream))
    , m_tokens(other.m_tokens)
    , m_room(std::move(other.m_room))
{
    other.m_upstream = nullptr;
}

auto UpstreamSlot::operator=(UpstreamSlot&& other) noexcept -> UpstreamSlot&
{
    if (this == &other)
        return *this;
    release();
    m_board = other.m_board;
    m_upstream = std::move(other.m_upstream);
    m_tokens = other.m_tokens;
    m_room = std::move(other.m_room);
    other.m_upstream = nullptr;
    return *this;
}

UpstreamSlot::~UpstreamSlot()
{
    release();
}

auto UpstreamSlot::release() -> void
{
    if (!m_upstream)
        return;
    --m_upstream->m_inFlight;
    m_upstream->m_tokensInFlight -= m_tokens;
    m_upstream = nullptr;
    m_room = nullptr;
    m_board->m_capacityChanged();
}

WaitList::WaitList(Executor executor, RelayBoard& board, const RelaySettings& settings)
    : m_executor(std::move(executor))
    , m_board(board)
    , m_settings(settings)
    , m_recheckTimer(m_executor)
    , m_random(std::random_device()())
{
}

auto WaitList::choose(const UpstreamNeeds& needs) -> UpstreamChoice
{
    auto context = ChoiceContext();
    context.m_configuration = m_board.m_configuration.get();
    context.m_regions = &m_settings.m_regions;
    context.m_nodes = m_board.m_nodes;
    context.m_now = Clock::now();
    context.m_smallFleet = isSmallFleet(m_board.m_fleet);
    context.m_jitterSeed = m_random();
    return chooseUpstream(m_board.m_upstreams, needs, context);
}

auto WaitList::acquireSlot(const UpstreamChoice& choice, const UpstreamNeeds& needs) -> UpstreamSlot
{
    const auto now = Clock::now();
    const auto& pools = m_board.m_configuration->m_pools;
    const auto pool = pools.find(needs.m_pool);
    if (isCold(*choice.m_upstream, now) && pool != pools.end() && pool->second.m_coldRequestsPerSecond > 0)
        (void)acquireColdAllowance(*choice.m_upstream, pool->second, m_board.m_nodes, now);
    return UpstreamSlot(m_board, choice.m_upstream, needs.m_tokens);
}

auto WaitList::acquire(UpstreamNeeds needs, WaitRank rank, MonotonicTime until, const bool& cancelled)
    -> Awaitable<SlotResult>
{
    needs.m_dataCentre = m_settings.m_dataCentre;
    const auto choice = choose(needs);
    if (choice.m_upstream) {
        auto result = SlotResult { acquireSlot(choice, needs), choice.m_outcome, choice.m_outcome };
        co_return result;
    }
    auto waiter
        = Waiter { std::move(needs), rank, until, &cancelled, net::steady_timer(m_executor, until), {} };
    waiter.m_result.m_firstOutcome = choice.m_outcome;
    recordOutcome(waiter, choice);
    if (waiter.m_ended || until <= Clock::now())
        co_return std::move(waiter.m_result);
    enqueue(waiter);
    const auto waiting
        = AdapterUse(m_board.m_adapterRates, waiter.m_needs.m_adapter, &AdapterRate::m_waiting);
    if (choice.m_outcome == ChoiceOutcome::NotLoaded)
        m_board.m_adapterWanted();
    armTimer(choice.m_retryAt);
    while (!waiter.m_ended && !cancelled && Clock::now() < until) {
        auto error = ErrorCode();
        co_await waiter.m_timer.async_wait(errorTo(error));
    }
    m_waiting.remove(&waiter);
    co_return std::move(waiter.m_result);
}

auto WaitList::tryAcquireOther(UpstreamNeeds needs) -> UpstreamSlot
{
    needs.m_dataCentre = m_settings.m_dataCentre;
    const auto choice = choose(needs);
    if (!choice.m_upstream || choice.m_upstream->m_health.m_avoidUntil > Clock::now())
        return {};
    if (wasTried(needs, *choice.m_upstream))
        return {};
    return acquireSlot(choice, needs);
}

auto WaitList::recordOutcome(Waiter& waiter, const UpstreamChoice& choice) -> void
{
    waiter.m_result.m_outcome = choice.m_outcome;
    waiter.m_result.m_retryAt = choice.m_retryAt;
    waiter.m_ended = choice.m_outcome == ChoiceOutcome::Paused && choice.m_retryAt >= waiter.m_until;
}

auto WaitList::enqueue(Waiter& waiter) -> void
{
    const auto successor = std::find_if(m_waiting.begin(), m_waiting.end(),
        [&](const Waiter* other) { return waiter.m_rank < other->m_rank; });
    m_waiting.insert(successor, &waiter);
}

auto WaitList::armTimer(MonotonicTime retryAt) -> void
{
    const auto now = Clock::now();
    auto at = now + recheckInterval;
    if (retryAt > now)
        at = std::min(at, retryAt);
    if (m_nextRecheckAt > now && m_nextRecheckAt <= at)
        return;
    m_nextRecheckAt = at;
    m_recheckTimer.expires_at(at);
    m_recheckTimer.async_wait([this](ErrorCode error) {
        if (!error)
            recheck();
    });
}

auto WaitList::scheduleRecheck() -> void
{
    if (m_recheckPending || m_waiting.empty())
        return;
    m_recheckPending = true;
    net::post(m_executor, [this] { recheck(); });
}

auto WaitList::recheck() -> void
{
    m_recheckPending = false;
    auto retryAt = MonotonicTime();
    for (auto at = m_waiting.begin(); at != m_waiting.end();) {
        auto& waiter = **at;
        if (*waiter.m_cancelled || !m_board.m_configuration) {
            ++at;
            continue;
        }
        const auto choice = choose(waiter.m_needs);
        recordOutcome(waiter, choice);
        if (!choice.m_upstream && !waiter.m_ended) {
            if (choice.m_retryAt != MonotonicTime())
                retryAt = retryAt == MonotonicTime() ? choice.m_retryAt : std::min(retryAt, choice.m_retryAt);
            ++at;
            continue;
        }
        if (choice.m_upstream)
            waiter.m_result.m_slot = acquireSlot(choice, waiter.m_needs);
        waiter.m_ended = true;
        at = m_waiting.erase(at);
        waiter.m_timer.cancel();
    }
    if (!m_waiting.empty())
        armTimer(retryAt);
}

auto WaitList::wakeCancelled() -> void
{
    for (auto* waiter : m_waiting) {
        if (*waiter->m_cancelled)
            waiter->m_timer.cancel();
    }
}

} // namespace marigoldladder::relay
