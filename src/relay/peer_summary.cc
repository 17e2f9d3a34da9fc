// Builds this node's summary, the state that it sends to its peers.
#include "relay/crash_evidence_report.h"
#include "relay/peer_exchange.h"
#include "relay/peer_message.h"
#include "relay/request_limit_report.h"
#include "relay/store_revisions.h"
#include "relay/upstream_health.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    using Clock = std::chrono::steady_clock;

    // Limits of the entries in one summary.
    constexpr auto maxDemands = std::size_t { 56 }; // The adapters with the highest demand.
    constexpr auto maxOrders = std::size_t { 24 }; // The newest.
    constexpr auto maxUnreachable = std::size_t { 64 };

    constexpr auto maxSentTimes = std::size_t { 512 }; // Of the latest summaries: a few seconds.
    constexpr auto orderRetention = Milliseconds(2'500); // Until the engines' own lists contain the change.

    // Returns the time from `then` to `now` in milliseconds.
    auto ageInMilliseconds(MonotonicTime then, MonotonicTime now) -> std::uint32_t
    {
        constexpr auto never = std::uint32_t { 1'000'000 };
        if (then == MonotonicTime())
            return never;
        const auto milliseconds = std::chrono::duration_cast<Milliseconds>(now - then).count();
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(milliseconds, 0, never));
    }

} // namespace

auto PeerExchange::makeSummary(Recipient recipient) -> std::string
{
    const auto now = Clock::now();
    auto summary = messages::SummaryT();
    summary.vm = m_settings.m_vm.value();
    summary.incarnation = m_incarnation;
    summary.number = ++m_number;
    m_sent.emplace_back(m_number, bootClockNow());
    if (m_sent.size() > maxSentTimes)
        m_sent.pop_front();
    summary.data_centre = m_settings.m_dataCentre.value();
    summary.caller_host = m_settings.m_callerAddress.m_host;
    summary.caller_port = static_cast<std::uint16_t>(m_settings.m_callerAddress.m_port);
    summary.peer_host = m_settings.m_peerAddress.m_host;
    summary.peer_port = static_cast<std::uint16_t>(m_settings.m_peerAddress.m_port);
    summary.ready = m_isReady();
    summary.processor_share = static_cast<float>(m_settings.m_processorShare);
    summary.store_reachable = m_board.m_storeReachable;
    fillRevisions(m_board.m_objects, summary);
    summary.leaving = m_board.m_leaving;
    summary.stranded = isStranded(m_board);
    summary.configuration_version = configurationVersion(m_board);
    const auto& holder = m_board.m_fleet.m_holder;
    const auto& orders = m_board.m_orders;
    summary.holder = orders.m_holdsLease ? m_settings.m_vm.value() : holder.m_vm.value();
    summary.holder_fence = orders.m_holdsLease ? orders.m_fence : holder.m_fence;
    const auto holderPeer = m_board.m_fleet.m_peers.find(holder.m_vm);
    summary.holder_number = holderPeer == m_board.m_fleet.m_peers.end() ? 0 : holderPeer->second.m_number;
    summary.holder_age_ms = orders.m_holdsLease ? 0 : ageInMilliseconds(holder.m_lastReportedAt, now);
    fillContents(summary, recipient);
    return encodeDatagram(std::move(summary));
}

auto PeerExchange::fillContents(messages::SummaryT& summary, Recipient recipient) const -> void
{
    if (recipient == Recipient::Local || recipient == Recipient::Holder) {
        fillLoads(summary);
        summary.crash_evidence = makeEvidenceReport(m_board.m_crashEvidence, ReportScope::Self, Clock::now());
        fillUnreachable(summary);
        summary.limits = makeLimitReports(m_board.m_upstreams, ReportScope::Self, Clock::now());
    }
    if (recipient == Recipient::Holder) {
        fillDemands(summary);
        fillMissing(summary);
    }
    if (m_board.m_orders.m_holdsLease && recipient != Recipient::Remote)
        fillOrders(summary);
}

auto PeerExchange::fillLoads(messages::SummaryT& summary) const -> void
{
    for (const auto& [name, upstream] : m_board.m_upstreams.m_upstreams) {
        if (upstream->m_inFlight == 0)
            continue;
        const auto tokens = static_cast<std::uint32_t>(std::max(upstream->m_tokensInFlight, 0.0));
        summary.loads.emplace_back(
            shortId(name.value()), tokens, static_cast<std::uint16_t>(upstream->m_inFlight));
    }
}

auto PeerExchange::fillUnreachable(messages::SummaryT& summary) const -> void
{
    const auto now = Clock::now();
    for (const auto& [id, upstream] : m_board.m_upstreams.m_byShortId) {
        const auto refusedAt = upstream->m_reachability.m_refusedAt;
        if (refusedAt != MonotonicTime() && refusedAt + unreachableTime > now
            && summary.unreachable.size() < maxUnreachable)
            summary.unreachable.push_back(id);
    }
}

auto PeerExchange::fillDemands(messages::SummaryT& summary) const -> void
{
    const auto now = Clock::now();
    auto sorted = std::vector<std::pair<std::pair<std::size_t, double>, const std::string*>>();
    for (const auto& [adapter, rate] : m_board.m_adapterRates)
        sorted.push_back(
            { { rate.m_waiting + std::min<std::size_t>(rate.m_inFlight, 1), rateAt(rate, now) }, &adapter });
    std::sort(sorted.begin(), sorted.end(),
        [](const auto& left, const auto& right) { return left.first > right.first; });
    if (sorted.size() > maxDemands)
        sorted.resize(maxDemands);
    for (const auto& [demand, adapter] : sorted) {
        auto entry = std::make_unique<messages::AdapterDemandT>();
        entry->adapter = *adapter;
        entry->requests_per_second = static_cast<float>(demand.second);
        entry->waiting = static_cast<std::uint16_t>(m_board.m_adapterRates.at(*adapter).m_waiting);
        entry->in_flight = static_cast<std::uint16_t>(m_board.m_adapterRates.at(*adapter).m_inFlight);
        summary.demands.push_back(std::move(entry));
    }
}

auto PeerExchange::fillMissing(messages::SummaryT& summary) const -> void
{
    for (const auto& missing : m_board.m_missingAdapters) {
        auto entry = std::make_unique<messages::MissingAdapterT>();
        entry->upstream = shortId(missing.m_upstream.value());
        entry->adapter = missing.m_adapter;
        summary.missing.push_back(std::move(entry));
    }
}

auto PeerExchange::fillOrders(messages::SummaryT& summary) const -> void
{
    const auto now = Clock::now();
    const auto& recent = m_board.m_orders.m_recent;
    for (auto at = recent.rbegin(); at != recent.rend() && summary.orders.size() < maxOrders; ++at) {
        if (at->m_orderedAt + orderRetention <= now)
            break;
        auto entry = std::make_unique<messages::OrderedAdapterT>();
        entry->upstream = shortId(at->m_upstream.value());
        entry->adapter = at->m_adapter;
        entry->version = at->m_version;
        entry->ready_in_ms = at->m_readyAt > now ? ageInMilliseconds(now, at->m_readyAt) : 0;
        entry->age_ms = ageInMilliseconds(at->m_orderedAt, now);
        summary.orders.push_back(std::move(entry));
    }
}

} // namespace marigoldladder::relay
