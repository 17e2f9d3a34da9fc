#include "relay/allowance_exchange.h"

#include "core/log.h"
#include "relay/peer_message.h"

#include <algorithm>
#include <cmath>

namespace marigoldladder::relay {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr auto updateInterval = Milliseconds(200);
    // For each attempt to get an answer. Nodes with a small processor share may be busy for tens of
    // milliseconds.
    constexpr auto answerTimeouts = std::array { Milliseconds(60), Milliseconds(90) };
    constexpr auto unresponsiveBackoff = Milliseconds(500); // After a node did not answer.
    constexpr auto unknownRetryAfter = Milliseconds(300);
    constexpr auto minRetryAfter = Milliseconds(50);
    constexpr auto maxRetryAfter = Milliseconds(60'000);
    constexpr auto answerRetention = Milliseconds(500); // Longer than requests are resent.

    // Whether a number received from a peer is a valid count of tokens.
    auto isValidTokenCount(double tokens) -> bool
    {
        return std::isfinite(tokens) && tokens >= 0;
    }

} // namespace

AllowanceExchange::AllowanceExchange(Executor executor, const RelaySettings& settings, RelayBoard& board,
    PeerSocket& socket, Incarnation incarnation)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_board(board)
    , m_socket(socket)
    , m_incarnation(incarnation)
    , m_random(std::random_device()())
{
    m_owned.m_nextBucketId = incarnation;
}

auto AllowanceExchange::start(std::function<bool()> isReady) -> void
{
    m_isReady = std::move(isReady);
    runLoop(m_executor, "allowances", m_board.m_metrics, [this] { return updatePeriodically(); });
}

auto AllowanceExchange::updatePeriodically() -> Awaitable<void>
{
    for (;;) {
        update();
        co_await sleepFor(updateInterval);
    }
}

auto AllowanceExchange::update() -> void
{
    auto context = ShardContext();
    context.m_now = Clock::now();
    context.m_bootClockNow = bootClockNow();
    while (!m_recentAnswers.empty() && m_recentAnswers.front().m_at + answerRetention <= context.m_now)
        m_recentAnswers.pop_front();
    if (!m_board.m_configuration)
        return;
    const auto self = ShardCandidate { m_settings.m_vm, m_settings.m_processorShare, m_isReady() };
    m_candidates = shardCandidates(m_board.m_fleet, self, context.m_now);
    context.m_self = m_settings.m_vm;
    context.m_candidates = m_candidates;
    context.m_reachableShare = reachableShare(m_board.m_fleet, context.m_now);
    context.m_bounds = m_settings.m_bounds.m_allowance;
    updateOwnedShards(m_owned, m_board.m_configuration->m_organisations, context);
}

auto AllowanceExchange::findOrganisation(std::uint32_t id) const -> const Organisation*
{
    if (!m_board.m_configuration)
        return nullptr;
    const auto& organisations = m_board.m_configuration->m_organisations;
    const auto found = std::find_if(organisations.begin(), organisations.end(),
        [id](const Organisation& organisation) { return shortId(organisation.m_name.value()) == id; });
    return found == organisations.end() ? nullptr : &*found;
}

auto AllowanceExchange::charge(const Organisation& organisation, double tokens)
    -> Awaitable<AllowanceDecision>
{
    auto decision = AllowanceDecision();
    if (organisation.m_tokensPerSecond <= 0)
        co_return decision;
    if (m_candidates.empty())
        update();
    const auto shards = shardCount(organisation);
    const auto first = m_random() % shards;
    auto anyUnavailable = false;
    decision.m_retryAfter = maxRetryAfter;
    for (auto index = std::size_t { 0 }; index < shards; ++index) {
        const auto shard = ShardId { shortId(organisation.m_name.value()), (first + index) % shards };
        const auto owner = shardOwner(m_candidates, shard);
        auto charged = ShardCharge();
        if (owner)
            charged = co_await chargeAt(*owner, shard, organisation, tokens);
        if (charged.m_outcome == ChargeOutcome::Granted) {
            auto granted = AllowanceDecision { AllowanceOutcome::Granted, Milliseconds(0), tokens, *owner,
                shard, charged };
            co_return granted;
        }
        anyUnavailable = anyUnavailable || charged.m_outcome == ChargeOutcome::NotOwner;
        if (charged.m_outcome == ChargeOutcome::Refused)
            decision.m_retryAfter = std::min(decision.m_retryAfter, charged.m_retryAfter);
    }
    decision.m_outcome = anyUnavailable ? AllowanceOutcome::Unknown : AllowanceOutcome::Spent;
    if (anyUnavailable)
        decision.m_retryAfter = std::min(decision.m_retryAfter, unknownRetryAfter);
    decision.m_retryAfter = std::max(decision.m_retryAfter, minRetryAfter);
    co_return decision;
}

auto AllowanceExchange::chargeAt(const VmName& owner, const ShardId& shard, const Organisation& organisation,
    double tokens) -> Awaitable<ShardCharge>
{
    if (owner == m_settings.m_vm)
        co_return chargeShard(m_owned, shard, organisation, tokens, Clock::now());
    const auto unresponsive = m_unresponsiveUntil.find(owner);
    if (unresponsive != m_unresponsiveUntil.end() && unresponsive->second > Clock::now())
        co_return ShardCharge();
    co_return co_await requestCharge(owner, shard, tokens);
}

auto AllowanceExchange::requestCharge(const VmName& owner, const ShardId& shard, double tokens)
    -> Awaitable<ShardCharge>
{
    const auto number = m_pendingCharges.nextNumber();
    auto request = messages::ChargeRequestT();
    request.asker = m_incarnation;
    request.number = number;
    request.organisation = shard.m_organisation;
    request.part = static_cast<std::uint8_t>(shard.m_shard);
    request.tokens = tokens;
    const auto datagram = encodeDatagram(request);
    auto answer = std::optional<ShardCharge>();
    for (const auto timeout : answerTimeouts) {
        const auto peer = m_board.m_fleet.m_peers.find(owner);
        if (peer == m_board.m_fleet.m_peers.end() || answer)
            break;
        m_socket.send(peer->second.m_peerAddress, datagram);
        answer = co_await m_pendingCharges.waitFor(number, timeout);
    }
    if (answer) {
        m_unresponsiveUntil.erase(owner);
        co_return *answer;
    }
    m_unresponsiveUntil[owner] = Clock::now() + unresponsiveBackoff;
    logChange("allowance_keeper_silent", { { "keeper", owner.value() } });
    co_return ShardCharge();
}

auto AllowanceExchange::refund(const AllowanceDecision& decision) -> void
{
    if (decision.m_outcome != AllowanceOutcome::Granted || decision.m_tokens <= 0)
        return;
    const auto& charge = decision.m_charge;
    if (decision.m_owner == m_settings.m_vm) {
        refundShard(m_owned, decision.m_shard, charge.m_bucketId, charge.m_charge, decision.m_tokens);
        return;
    }
    const auto peer = m_board.m_fleet.m_peers.find(decision.m_owner);
    if (peer == m_board.m_fleet.m_peers.end())
        return;
    auto refund = messages::RefundT();
    refund.organisation = decision.m_shard.m_organisation;
    refund.part = static_cast<std::uint8_t>(decision.m_shard.m_shard);
    refund.bucket = charge.m_bucketId;
    refund.charge = charge.m_charge;
    refund.tokens = decision.m_tokens;
    m_socket.send(peer->second.m_peerAddress, encodeDatagram(refund));
}

auto AllowanceExchange::answerOnce(const messages::ChargeRequest& request, const std::string& host)
    -> ShardCharge
{
    const auto repeated
        = std::find_if(m_recentAnswers.rbegin(), m_recentAnswers.rend(), [&](const RecentAnswer& entry) {
              return entry.m_requestNumber == request.number() && entry.m_senderIncarnation == request.asker()
                  && entry.m_host == host;
          });
    if (repeated != m_recentAnswers.rend())
        return repeated->m_charge;
    const auto* organisation = findOrganisation(request.organisation());
    if (!organisation || !isValidTokenCount(request.tokens()))
        return {};
    const auto now = Clock::now();
    const auto shard = ShardId { request.organisation(), request.part() };
    const auto charged = chargeShard(m_owned, shard, *organisation, request.tokens(), now);
    m_recentAnswers.push_back({ host, request.asker(), request.number(), now, charged });
    return charged;
}

auto AllowanceExchange::handle(const messages::ChargeRequest& request, const Address& from) -> void
{
    const auto charged = answerOnce(request, from.m_host);
    auto answer = messages::ChargeAnswerT();
    answer.number = request.number();
    answer.outcome = static_cast<messages::ChargeOutcome>(charged.m_outcome);
    answer.bucket = charged.m_bucketId;
    answer.charge = charged.m_charge;
    answer.retry_after_ms = static_cast<std::uint32_t>(charged.m_retryAfter.count());
    m_socket.send(from, encodeDatagram(answer));
}

auto AllowanceExchange::handle(const messages::ChargeAnswer& answer) -> void
{
    if (answer.outcome() > messages::ChargeOutcome::MAX)
        return;
    m_pendingCharges.receive(answer.number(),
        { static_cast<ChargeOutcome>(answer.outcome()), answer.bucket(), answer.charge(),
            Milliseconds(answer.retry_after_ms()) });
}

auto AllowanceExchange::handle(const messages::Refund& refund) -> void
{
    if (!isValidTokenCount(refund.tokens()))
        return;
    refundShard(m_owned, ShardId { refund.organisation(), refund.part() }, refund.bucket(), refund.charge(),
        refund.tokens());
}

} // namespace marigoldladder::relay
