#include "relay/allowance_exchange.h"

#include "core/log.h"
#include "relay/generated/peer_messages_generated.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cmath>

namespace marigoldladder::relay {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr auto updateInterval = Milliseconds(200);
    // For the answer of a node; nodes with little processor time may be busy for tens of milliseconds.
    constexpr auto answerTimes = std::array { Milliseconds(60), Milliseconds(90) };
    constexpr auto silencePause = Milliseconds(500); // Until a node that did not answer is asked again.
    constexpr auto unknownRetryAfter = Milliseconds(300);
    constexpr auto shortestRetryAfter = Milliseconds(50);
    constexpr auto longestRetryAfter = Milliseconds(60'000);
    constexpr auto answerMemory = Milliseconds(500); // Longer than a request is sent again.

    // Whether a peer's number can be one of tokens.
    auto isAmount(double tokens) -> bool
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
    m_kept.m_nextNumber = incarnation;
}

auto AllowanceExchange::start(std::function<bool()> isReady) -> void
{
    m_isReady = std::move(isReady);
    net::co_spawn(m_executor, updateRegularly(), net::detached);
}

auto AllowanceExchange::updateRegularly() -> Awaitable<void>
{
    for (;;) {
        update();
        co_await sleepFor(updateInterval);
    }
}

auto AllowanceExchange::update() -> void
{
    auto context = PartContext();
    context.m_now = Clock::now();
    context.m_uninterrupted = bootClockNow();
    while (!m_answered.empty() && m_answered.front().m_at + answerMemory <= context.m_now)
        m_answered.pop_front();
    if (!m_board.m_configuration)
        return;
    const auto self = PartCandidate { m_settings.m_vm, m_settings.m_processorShare, m_isReady() };
    m_candidates = partCandidates(m_board.m_fleet, self, context.m_now);
    context.m_self = m_settings.m_vm;
    context.m_candidates = m_candidates;
    context.m_heardShare = heardShare(m_board.m_fleet, context.m_now);
    context.m_bounds = m_settings.m_bounds.m_allowance;
    updateKeptParts(m_kept, m_board.m_configuration->m_organisations, context);
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
    const auto parts = partsOf(organisation);
    const auto first = m_random() % parts;
    auto anyUnknown = false;
    decision.m_retryAfter = longestRetryAfter;
    for (auto index = std::size_t { 0 }; index < parts; ++index) {
        const auto part = PartName { shortId(organisation.m_name.value()), (first + index) % parts };
        const auto keeper = keeperOf(m_candidates, part);
        auto charged = PartCharge();
        if (keeper)
            charged = co_await chargeAt(*keeper, part, organisation, tokens);
        if (charged.m_outcome == ChargeOutcome::Granted) {
            auto granted = AllowanceDecision { AllowanceOutcome::Granted, Milliseconds(0), tokens, *keeper,
                part, charged };
            co_return granted;
        }
        anyUnknown = anyUnknown || charged.m_outcome == ChargeOutcome::NotKept;
        if (charged.m_outcome == ChargeOutcome::Refused)
            decision.m_retryAfter = std::min(decision.m_retryAfter, charged.m_retryAfter);
    }
    decision.m_outcome = anyUnknown ? AllowanceOutcome::Unknown : AllowanceOutcome::Spent;
    if (anyUnknown)
        decision.m_retryAfter = std::min(decision.m_retryAfter, unknownRetryAfter);
    decision.m_retryAfter = std::max(decision.m_retryAfter, shortestRetryAfter);
    co_return decision;
}

auto AllowanceExchange::chargeAt(const VmName& keeper, const PartName& part, const Organisation& organisation,
    double tokens) -> Awaitable<PartCharge>
{
    if (keeper == m_settings.m_vm)
        co_return chargePart(m_kept, part, organisation, tokens, Clock::now());
    const auto silent = m_silentUntil.find(keeper);
    if (silent != m_silentUntil.end() && silent->second > Clock::now())
        co_return PartCharge();
    co_return co_await ask(keeper, part, tokens);
}

auto AllowanceExchange::ask(const VmName& keeper, const PartName& part, double tokens)
    -> Awaitable<PartCharge>
{
    const auto number = ++m_lastNumber;
    auto message = messages::PeerMessageUnion();
    auto request = messages::ChargeRequestT();
    request.asker = m_incarnation;
    request.number = number;
    request.organisation = part.m_organisation;
    request.part = static_cast<std::uint8_t>(part.m_part);
    request.tokens = tokens;
    message.Set(request);
    const auto datagram = encodeDatagram(message);
    auto asked = Asked { net::steady_timer(m_executor), {} };
    m_asked[number] = &asked;
    for (const auto time : answerTimes) {
        const auto peer = m_board.m_fleet.m_peers.find(keeper);
        if (peer == m_board.m_fleet.m_peers.end() || asked.m_answer)
            break;
        m_socket.send(peer->second.m_peerAddress, datagram);
        asked.m_timer.expires_after(time);
        auto error = ErrorCode();
        co_await asked.m_timer.async_wait(errorTo(error));
    }
    m_asked.erase(number);
    if (asked.m_answer) {
        m_silentUntil.erase(keeper);
        co_return *asked.m_answer;
    }
    m_silentUntil[keeper] = Clock::now() + silencePause;
    logChange("allowance_keeper_silent", { { "keeper", keeper.value() } });
    co_return PartCharge();
}

auto AllowanceExchange::refund(const AllowanceDecision& decision) -> void
{
    if (decision.m_outcome != AllowanceOutcome::Granted || decision.m_tokens <= 0)
        return;
    const auto& charge = decision.m_charge;
    if (decision.m_keeper == m_settings.m_vm) {
        refundPart(m_kept, decision.m_part, charge.m_bucket, charge.m_charge, decision.m_tokens);
        return;
    }
    const auto peer = m_board.m_fleet.m_peers.find(decision.m_keeper);
    if (peer == m_board.m_fleet.m_peers.end())
        return;
    auto refund = messages::RefundT();
    refund.organisation = decision.m_part.m_organisation;
    refund.part = static_cast<std::uint8_t>(decision.m_part.m_part);
    refund.bucket = charge.m_bucket;
    refund.charge = charge.m_charge;
    refund.tokens = decision.m_tokens;
    auto message = messages::PeerMessageUnion();
    message.Set(refund);
    m_socket.send(peer->second.m_peerAddress, encodeDatagram(message));
}

auto AllowanceExchange::answerOnce(const messages::ChargeRequest& request, const std::string& host)
    -> PartCharge
{
    const auto before = std::find_if(m_answered.rbegin(), m_answered.rend(), [&](const Answered& entry) {
        return entry.m_number == request.number() && entry.m_asker == request.asker() && entry.m_host == host;
    });
    if (before != m_answered.rend())
        return before->m_charge;
    const auto* organisation = findOrganisation(request.organisation());
    if (!organisation || !isAmount(request.tokens()))
        return {};
    const auto now = Clock::now();
    const auto part = PartName { request.organisation(), request.part() };
    const auto charged = chargePart(m_kept, part, *organisation, request.tokens(), now);
    m_answered.push_back({ host, request.asker(), request.number(), now, charged });
    return charged;
}

auto AllowanceExchange::enter(const messages::ChargeRequest& request, const Address& from) -> void
{
    const auto charged = answerOnce(request, from.m_host);
    auto answer = messages::ChargeAnswerT();
    answer.number = request.number();
    answer.outcome = static_cast<messages::ChargeOutcome>(charged.m_outcome);
    answer.bucket = charged.m_bucket;
    answer.charge = charged.m_charge;
    answer.retry_after_ms = static_cast<std::uint32_t>(charged.m_retryAfter.count());
    auto message = messages::PeerMessageUnion();
    message.Set(answer);
    m_socket.send(from, encodeDatagram(message));
}

auto AllowanceExchange::enter(const messages::ChargeAnswer& answer) -> void
{
    const auto found = m_asked.find(answer.number());
    if (found == m_asked.end() || answer.outcome() > messages::ChargeOutcome::MAX)
        return;
    found->second->m_answer = PartCharge { static_cast<ChargeOutcome>(answer.outcome()), answer.bucket(),
        answer.charge(), Milliseconds(answer.retry_after_ms()) };
    found->second->m_timer.cancel();
}

auto AllowanceExchange::enter(const messages::Refund& refund) -> void
{
    if (!isAmount(refund.tokens()))
        return;
    refundPart(m_kept, PartName { refund.organisation(), refund.part() }, refund.bucket(), refund.charge(),
        refund.tokens());
}

} // namespace marigoldladder::relay
