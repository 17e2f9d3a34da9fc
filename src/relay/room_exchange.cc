#include "relay/room_exchange.h"

#include "relay/brittle_pools.h"
#include "relay/peer_message.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr auto updateInterval = Milliseconds(200);
    constexpr auto answerTimeout = Milliseconds(80);
    constexpr auto receiptTimeout = Milliseconds(100);
    constexpr auto maxReports = 3; // Of the end of one request.
    constexpr auto ownerlessRetryAfter = Milliseconds(250);
    constexpr auto minRetryAfter = Milliseconds(5);
    constexpr auto maxRetryAfter = Milliseconds(5'000);
    constexpr auto unusedLedgerLifetime = std::chrono::seconds(10);
    constexpr auto firstOwner = std::size_t { 0 };
    // Several reports of the nodes are due in it, also where gateways forward them.
    constexpr auto reportDelayInSmallFleet = Milliseconds(300);
    constexpr auto reportDelayInLargeFleet = Milliseconds(1'300);

} // namespace

RoomExchange::RoomExchange(Executor executor, const RelaySettings& settings, RelayBoard& board,
    PeerSocket& socket, Incarnation incarnation)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_board(board)
    , m_socket(socket)
    , m_incarnation(incarnation)
    , m_pendingAnswers(incarnation)
    , m_pendingReceipts(incarnation)
    , m_random(std::random_device()())
{
}

auto RoomExchange::start(std::function<bool()> isReady) -> void
{
    m_isReady = std::move(isReady);
    runLoop(m_executor, "rooms", m_board.m_metrics, [this] { return updatePeriodically(); });
}

auto RoomExchange::updatePeriodically() -> Awaitable<void>
{
    for (;;) {
        update();
        co_await sleepFor(updateInterval);
    }
}

auto RoomExchange::update() -> void
{
    const auto now = Clock::now();
    const auto paused = wasPaused(m_ownership);
    const auto self = ShardCandidate { m_settings.m_vm, m_settings.m_processorShare, m_isReady() };
    updateOwnership(m_ownership, m_board.m_fleet, self, now);
    const auto alive = incarnationsAlive(now);
    for (const auto& [name, upstream] : m_board.m_upstreams.m_upstreams) {
        if (paused)
            upstream->m_room.m_ledger = {};
        updateLedger(*upstream, alive, now);
    }
}

// A datagram may be handled before the periodic update that notices the pause.
auto RoomExchange::updateAfterPause() -> void
{
    if (wasPaused(m_ownership))
        update();
}

auto RoomExchange::updateLedger(
    Upstream& upstream, const std::vector<Incarnation>& alive, MonotonicTime now) const -> void
{
    auto& ledger = upstream.m_room.m_ledger;
    const auto isUsed = brittlenessOf(m_board.m_upstreams, upstream.m_record.m_pool)
        || (ledger.m_isOwned && now < ledger.m_askedAt + unusedLedgerLifetime);
    const auto isOwned = isUsed && ownerOf(upstream) == m_settings.m_vm;
    setRoomOwned(ledger, isOwned, stateOf(upstream, Milliseconds(0)).m_reportDelay, now);
    keepGrantsOf(ledger, alive);
}

auto RoomExchange::incarnationsAlive(MonotonicTime now) const -> std::vector<Incarnation>
{
    auto alive = std::vector<Incarnation> { m_incarnation };
    for (const auto& [name, peer] : m_board.m_fleet.m_peers) {
        if (isAlive(peer, now))
            alive.push_back(peer.m_incarnation);
    }
    return alive;
}

auto RoomExchange::ownerOf(const Upstream& upstream) const -> std::optional<VmName>
{
    return limitShardOwner(m_ownership.m_candidates, upstream.m_record.m_name, firstOwner);
}

auto RoomExchange::addressOf(const VmName& vm) const -> std::optional<Address>
{
    const auto peer = m_board.m_fleet.m_peers.find(vm);
    return peer == m_board.m_fleet.m_peers.end() ? std::nullopt : std::optional(peer->second.m_peerAddress);
}

auto RoomExchange::stateOf(const Upstream& upstream, Milliseconds refusalInterval) const -> RoomState
{
    const auto reportDelay
        = isSmallFleet(m_board.m_fleet) ? reportDelayInSmallFleet : reportDelayInLargeFleet;
    return { usedSlots(upstream, m_ownership.m_fleetShare), upstream.m_inFlight + upstream.m_peersInFlight,
        reportDelay, refusalInterval };
}

auto RoomExchange::refusalIntervalOf(const Upstream& upstream) const -> Milliseconds
{
    const auto* brittleness = brittlenessOf(m_board.m_upstreams, upstream.m_record.m_pool);
    return brittleness ? refusalInterval(*brittleness) : Milliseconds(0);
}

auto RoomExchange::acquire(UpstreamPointer upstream) -> Awaitable<RoomAcquisition>
{
    if (!brittlenessOf(m_board.m_upstreams, upstream->m_record.m_pool))
        co_return RoomAcquisition { true, nullptr };
    updateAfterPause();
    const auto id = RoomRequestId { m_incarnation, m_pendingAnswers.nextNumber() };
    const auto owner = ownerOf(*upstream);
    if (!owner)
        co_return goWithoutOwner(*upstream);
    if (*owner == m_settings.m_vm) {
        const auto answer = grant(*upstream, id, refusalIntervalOf(*upstream));
        co_return useAnswer(upstream, id, *owner, answer);
    }
    auto answer = std::optional<RoomAnswer>();
    {
        const auto asking = RaisedFlag(upstream->m_room.m_isAsking);
        answer = co_await ask(*upstream, id, *owner);
    }
    // Requests that waited for this one's answer can ask now.
    m_board.m_capacityChanged();
    if (answer)
        co_return useAnswer(upstream, id, *owner, *answer);
    // The owner may have granted it.
    reportEnd(upstream, id, *owner, RoomEnd::Unknown);
    co_return goWithoutOwner(*upstream);
}

auto RoomExchange::grant(Upstream& upstream, RoomRequestId id, Milliseconds refusalInterval) -> RoomAnswer
{
    const auto now = Clock::now();
    const auto state = stateOf(upstream, refusalInterval);
    auto& ledger = upstream.m_room.m_ledger;
    setRoomOwned(ledger, ownerOf(upstream) == m_settings.m_vm, state.m_reportDelay, now);
    return grantRoom(ledger, state, id, now);
}

auto RoomExchange::ask(const Upstream& upstream, RoomRequestId id, const VmName& owner)
    -> Awaitable<std::optional<RoomAnswer>>
{
    const auto address = addressOf(owner);
    if (!address)
        co_return std::nullopt;
    const auto* brittleness = brittlenessOf(m_board.m_upstreams, upstream.m_record.m_pool);
    auto request = messages::RoomRequestT();
    request.asker = id.m_asker;
    request.number = id.m_number;
    request.upstream = shortId(upstream.m_record.m_name.value());
    request.refusals_per_second = brittleness ? brittleness->m_refusalsPerSecond : 0;
    m_socket.send(*address, encodeDatagram(request));
    co_return co_await m_pendingAnswers.waitFor(id.m_number, answerTimeout);
}

auto RoomExchange::useAnswer(const UpstreamPointer& upstream, RoomRequestId id, const VmName& owner,
    const RoomAnswer& answer) -> RoomAcquisition
{
    auto& room = upstream->m_room;
    if (answer.m_outcome == RoomOutcome::NotOwner)
        return goWithoutOwner(*upstream);
    room.m_ungrantedSendAt = {};
    if (answer.m_outcome == RoomOutcome::Full) {
        room.m_closedUntil = Clock::now() + std::clamp(answer.m_retryAfter, minRetryAfter, maxRetryAfter);
        return { false, nullptr };
    }
    return { true, std::make_unique<RoomPermit>([this, upstream, id, owner](RoomEnd end) {
                reportEnd(upstream, id, owner, end);
            }) };
}

// Without an owner that answers, this node sends its share of the requests that the upstream may refuse.
auto RoomExchange::goWithoutOwner(Upstream& upstream) -> RoomAcquisition
{
    const auto now = Clock::now();
    const auto interval = refusalIntervalOf(upstream) * static_cast<Milliseconds::rep>(m_board.m_nodes);
    auto& room = upstream.m_room;
    if (room.m_ungrantedSendAt == MonotonicTime()) {
        auto draw = std::uniform_int_distribution<Milliseconds::rep>(0, interval.count());
        room.m_ungrantedSendAt = now + Milliseconds(draw(m_random)); // Other nodes begin at the same time.
    }
    if (now >= room.m_ungrantedSendAt) {
        room.m_ungrantedSendAt = now + interval;
        return { true, nullptr };
    }
    room.m_closedUntil = now + ownerlessRetryAfter;
    return { false, nullptr };
}

auto RoomExchange::reportEnd(
    const UpstreamPointer& upstream, RoomRequestId id, const VmName& owner, RoomEnd end) -> void
{
    if (owner == m_settings.m_vm) {
        endGrant(upstream->m_room.m_ledger, id, end, Clock::now());
        return;
    }
    runTask(m_executor, "room_report", m_board.m_metrics, sendReport(upstream, id, owner, end));
}

auto RoomExchange::sendReport(UpstreamPointer upstream, RoomRequestId id, VmName owner, RoomEnd end)
    -> Awaitable<void>
{
    auto report = messages::RoomReportT();
    report.asker = id.m_asker;
    report.number = id.m_number;
    report.upstream = shortId(upstream->m_record.m_name.value());
    report.end = static_cast<messages::RoomEnd>(end);
    for (auto sent = 0; sent < maxReports; ++sent) {
        const auto address = addressOf(owner);
        if (!address)
            co_return;
        m_socket.send(*address, encodeDatagram(report));
        if (co_await m_pendingReceipts.waitFor(id.m_number, receiptTimeout))
            co_return;
    }
}

auto RoomExchange::handle(const messages::RoomRequest& request, const Address& from) -> void
{
    updateAfterPause();
    auto given = RoomAnswer { RoomOutcome::NotOwner, ownerlessRetryAfter };
    const auto found = m_board.m_upstreams.m_byShortId.find(request.upstream());
    if (found != m_board.m_upstreams.m_byShortId.end()) {
        const auto interval = refusalInterval(Brittleness { request.refusals_per_second(), {} });
        const auto id = RoomRequestId { request.asker(), request.number() };
        given = grant(*found->second, id, interval);
    }
    auto answer = messages::RoomAnswerT();
    answer.number = request.number();
    answer.outcome = static_cast<messages::RoomOutcome>(given.m_outcome);
    answer.retry_after_ms = static_cast<std::uint32_t>(given.m_retryAfter.count());
    m_socket.send(from, encodeDatagram(answer));
}

auto RoomExchange::handle(const messages::RoomAnswer& answer) -> void
{
    // A later version may have outcomes that this one doesn't know; none of them grants room.
    auto outcome = RoomOutcome::NotOwner;
    if (answer.outcome() == messages::RoomOutcome::Granted)
        outcome = RoomOutcome::Granted;
    else if (answer.outcome() == messages::RoomOutcome::Full)
        outcome = RoomOutcome::Full;
    const auto retryAfter = std::min(Milliseconds(answer.retry_after_ms()), maxRetryAfter);
    m_pendingAnswers.receive(answer.number(), RoomAnswer { outcome, retryAfter });
}

auto RoomExchange::handle(const messages::RoomReport& report, const Address& from) -> void
{
    const auto found = m_board.m_upstreams.m_byShortId.find(report.upstream());
    if (found != m_board.m_upstreams.m_byShortId.end()) {
        auto end = RoomEnd::Unknown;
        if (report.end() == messages::RoomEnd::Taken)
            end = RoomEnd::Taken;
        else if (report.end() == messages::RoomEnd::Refused)
            end = RoomEnd::Refused;
        const auto id = RoomRequestId { report.asker(), report.number() };
        endGrant(found->second->m_room.m_ledger, id, end, Clock::now());
    }
    auto receipt = messages::RoomReceiptT();
    receipt.number = report.number();
    m_socket.send(from, encodeDatagram(receipt));
}

auto RoomExchange::handle(const messages::RoomReceipt& receipt) -> void
{
    m_pendingReceipts.receive(receipt.number(), true);
}

} // namespace marigoldladder::relay
