// Applies the summaries of peers to this node's relay board.
#include "core/log.h"
#include "relay/blackboard_updates.h"
#include "relay/crash_evidence_report.h"
#include "relay/generated/peer_messages_generated.h"
#include "relay/peer_exchange.h"
#include "relay/peer_loads.h"
#include "relay/request_limit_report.h"
#include "relay/store_revisions.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    using Clock = std::chrono::steady_clock;

    // An adapter whose state changed within this time may have been loaded since the peer found it missing.
    constexpr auto reloadTime = Milliseconds(700);

} // namespace

auto PeerExchange::apply(const messages::Summary& message) -> bool
{
    auto summary = messages::SummaryT();
    message.UnPackTo(&summary);
    return applySummary(summary);
}

auto PeerExchange::applySummary(const messages::SummaryT& summary) -> bool
{
    const auto vm = VmName(summary.vm);
    if (vm.empty() || vm == m_settings.m_vm)
        return false;
    const auto now = Clock::now();
    auto& peer = m_board.m_fleet.m_peers[vm];
    const auto newer
        = std::pair(summary.incarnation, summary.number) > std::pair(peer.m_incarnation, peer.m_number);
    if (!newer)
        return false;
    if (peer.m_lastReceivedAt == MonotonicTime() && peer.m_knownSince == MonotonicTime())
        peer.m_knownSince = now;
    if (m_board.m_fleet.m_firstReceivedAt == MonotonicTime())
        m_board.m_fleet.m_firstReceivedAt = now;
    const auto sameRun = peer.m_incarnation == summary.incarnation;
    peer.m_vm = vm;
    peer.m_dataCentre = DataCentreName(summary.data_centre);
    peer.m_incarnation = summary.incarnation;
    peer.m_number = summary.number;
    peer.m_callerAddress = Address { summary.caller_host, summary.caller_port };
    peer.m_peerAddress = Address { summary.peer_host, summary.peer_port };
    peer.m_ready = summary.ready;
    peer.m_processorShare = summary.processor_share;
    if (summary.store_reachable && !peer.m_storeReachable && sameRun)
        m_board.m_storeRecoveredAt = now;
    peer.m_storeReachable = summary.store_reachable;
    peer.m_revisions = revisionsOf(summary);
    peer.m_leaving = summary.leaving;
    peer.m_stranded = summary.stranded;
    peer.m_livenessTimeout = livenessTimeoutOf(m_board.m_fleet, peer);
    peer.m_configurationVersion = summary.configuration_version;
    peer.m_lastReceivedAt = now;
    // In a large fleet, digests contain the loads of other data centres' nodes.
    if (isSmallFleet(m_board.m_fleet) || isInLocalDataCentre(m_board.m_fleet, peer))
        replacePeerLoads(m_board, peer.m_loads, summary.loads, now);
    if (summary.crash_evidence)
        applyEvidenceReport(m_board.m_crashEvidence, *summary.crash_evidence, ReportSource::LocalPeer, now);
    applyLimitReports(m_board, summary.limits, ReportSource::LocalPeer, now);
    applyHolder(summary, now);
    if (summary.stranded)
        dropUnreachableReports(m_board, vm);
    else
        applyUnreachableReports(m_board, vm, summary.unreachable, now);
    if (m_board.m_orders.m_holdsLease && !summary.demands.empty()) {
        auto& rates = m_board.m_fleetDemand.m_byNode[vm];
        rates.clear();
        for (const auto& demand : summary.demands)
            rates[demand->adapter]
                = AdapterRate { demand->requests_per_second, now, demand->waiting, demand->in_flight };
        applyMissing(summary, now);
        m_board.m_adapterWanted();
    }
    m_board.m_capacityChanged();
    return true;
}

auto PeerExchange::applyHolder(const messages::SummaryT& summary, MonotonicTime now) -> void
{
    auto& peer = m_board.m_fleet.m_peers[VmName(summary.vm)];
    const auto reportedAt = now - Milliseconds(summary.holder_age_ms);
    auto& holder = m_board.m_fleet.m_holder;
    const auto& orders = m_board.m_orders;
    peer.m_holderAcknowledgedAt = {};
    if (orders.m_holdsLease && summary.holder == m_settings.m_vm.value()
        && summary.holder_fence == orders.m_fence)
        peer.m_holderAcknowledgedAt = sentAt(summary.holder_number);
    if (summary.holder.empty() || summary.holder_fence < holder.m_fence)
        return;
    if (summary.holder_fence > holder.m_fence) {
        holder.m_vm = VmName(summary.holder);
        holder.m_fence = summary.holder_fence;
        holder.m_lastReportedAt = {};
        logChange("order_holder_known", { { "holder", summary.holder } });
    }
    holder.m_lastReportedAt = std::max(holder.m_lastReportedAt, reportedAt);
    if (summary.vm == summary.holder)
        applyOrders(summary, now);
}

auto PeerExchange::sentAt(std::uint64_t number) const -> BootClockTime
{
    if (m_sent.empty() || number < m_sent.front().first || number > m_sent.back().first)
        return {};
    return m_sent[number - m_sent.front().first].second;
}

auto PeerExchange::applyMissing(const messages::SummaryT& summary, MonotonicTime now) -> void
{
    for (const auto& missing : summary.missing) {
        const auto upstream = m_board.m_upstreams.m_byShortId.find(missing->upstream);
        if (upstream == m_board.m_upstreams.m_byShortId.end())
            continue;
        const auto found = upstream->second->m_adapters.find(missing->adapter);
        if (found != upstream->second->m_adapters.end() && found->second.m_learntAt + reloadTime < now)
            markMissing(found->second, now);
    }
}

auto PeerExchange::applyOrders(const messages::SummaryT& summary, MonotonicTime now) -> void
{
    // The orders are listed newest first; the newest one for an adapter at an engine has to be applied last.
    for (auto at = summary.orders.rbegin(); at != summary.orders.rend(); ++at) {
        const auto& order = **at;
        const auto found = m_board.m_upstreams.m_byShortId.find(order.upstream);
        if (found == m_board.m_upstreams.m_byShortId.end())
            continue;
        const auto orderedAt = now - Milliseconds(order.age_ms);
        const auto presence = found->second->m_adapters.find(order.adapter);
        const auto known = presence != found->second->m_adapters.end()
            && presence->second.m_learntAt + Milliseconds(30) >= orderedAt;
        if (known)
            continue;
        if (order.version == 0) {
            recordEvictionOrder(*found->second, order.adapter, true, orderedAt);
            continue;
        }
        recordLoadOrder(*found->second, ListedAdapter { order.adapter, order.version },
            now + Milliseconds(order.ready_in_ms), orderedAt);
    }
}

} // namespace marigoldladder::relay
