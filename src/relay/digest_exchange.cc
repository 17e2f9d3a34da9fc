#include "relay/digest_exchange.h"

#include "relay/crash_evidence_report.h"
#include "relay/data_centre_gateways.h"
#include "relay/peer_loads.h"
#include "relay/peer_message.h"
#include "relay/request_limit_report.h"
#include "relay/store_revisions.h"
#include "relay/upstream_health.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr auto digestInterval = Milliseconds(600); // Of each of a data centre's two gateways.
    constexpr auto maxUnreachable = std::size_t { 64 };

    auto makeMember(const Peer& peer, MonotonicTime now) -> std::unique_ptr<messages::MemberT>
    {
        auto member = std::make_unique<messages::MemberT>();
        member->vm = peer.m_vm.value();
        member->incarnation = peer.m_incarnation;
        member->number = peer.m_number;
        member->caller_host = peer.m_callerAddress.m_host;
        member->caller_port = static_cast<std::uint16_t>(peer.m_callerAddress.m_port);
        member->peer_port = static_cast<std::uint16_t>(peer.m_peerAddress.m_port);
        member->processor_share = static_cast<float>(peer.m_processorShare);
        const auto age = std::chrono::duration_cast<Milliseconds>(now - peer.m_lastReceivedAt);
        member->age_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(age.count(), 0));
        member->ready = peer.m_ready;
        member->leaving = peer.m_leaving;
        member->store_reachable = peer.m_storeReachable;
        member->stranded = peer.m_stranded;
        return member;
    }

} // namespace

DigestExchange::DigestExchange(Executor executor, const RelaySettings& settings, RelayBoard& board,
    PeerSocket& socket, Incarnation incarnation)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_board(board)
    , m_socket(socket)
    , m_incarnation(incarnation)
    , m_random(std::random_device()())
{
}

auto DigestExchange::start(std::function<bool()> isReady) -> void
{
    m_isReady = std::move(isReady);
    runLoop(m_executor, "digests", m_board.m_metrics, [this] { return sendPeriodically(); });
}

auto DigestExchange::sendPeriodically() -> Awaitable<void>
{
    for (;;) {
        co_await sleepFor(digestInterval);
        if (!isSmallFleet(m_board.m_fleet))
            sendDigests();
    }
}

auto DigestExchange::sendDigests() -> void
{
    const auto now = Clock::now();
    const auto self = GatewayCandidate { m_settings.m_vm, m_settings.m_processorShare, m_board.m_leaving };
    const auto rank = ownGatewayRank(m_board.m_fleet, self, now);
    if (!rank)
        return;
    const auto digest = makeDigest();
    for (const auto& dataCentre : remoteDataCentres(m_board.m_fleet)) {
        const auto gateways = gatewaysOf(m_board.m_fleet, dataCentre, now, m_random());
        if (!gateways.empty())
            m_socket.send(gateways[*rank % gateways.size()]->m_peerAddress, digest);
    }
}

auto DigestExchange::makeDigest() -> std::string
{
    const auto now = Clock::now();
    auto digest = messages::DigestT();
    digest.vm = m_settings.m_vm.value();
    digest.incarnation = m_incarnation;
    digest.number = ++m_number;
    digest.data_centre = m_settings.m_dataCentre.value();
    digest.peer_host = m_settings.m_peerAddress.m_host;
    digest.peer_port = static_cast<std::uint16_t>(m_settings.m_peerAddress.m_port);
    fillRevisions(m_board.m_objects, digest);
    fillMembers(digest, now);
    fillLoads(digest);
    fillFaults(digest, now);
    return encodeDatagram(std::move(digest));
}

auto DigestExchange::fillMembers(messages::DigestT& digest, MonotonicTime now) const -> void
{
    auto self = Peer();
    self.m_vm = m_settings.m_vm;
    self.m_incarnation = m_incarnation;
    self.m_callerAddress = m_settings.m_callerAddress;
    self.m_peerAddress = m_settings.m_peerAddress;
    self.m_processorShare = m_settings.m_processorShare;
    self.m_lastReceivedAt = now;
    self.m_ready = m_isReady();
    self.m_leaving = m_board.m_leaving;
    self.m_storeReachable = m_board.m_storeReachable;
    self.m_stranded = isStranded(m_board);
    digest.members.push_back(makeMember(self, now));
    for (const auto& [vm, peer] : m_board.m_fleet.m_peers) {
        if (isInLocalDataCentre(m_board.m_fleet, peer) && isAlive(peer, now))
            digest.members.push_back(makeMember(peer, now));
    }
}

auto DigestExchange::fillLoads(messages::DigestT& digest) const -> void
{
    auto sums = std::unordered_map<std::uint32_t, PeerLoad>();
    const auto add = [&](std::uint32_t upstream, const PeerLoad& load) {
        sums[upstream].m_inFlight += load.m_inFlight;
        sums[upstream].m_tokens += load.m_tokens;
    };
    for (const auto& [id, upstream] : m_board.m_upstreams.m_byShortId) {
        if (upstream->m_inFlight > 0)
            add(id, { upstream->m_inFlight, std::max(upstream->m_tokensInFlight, 0.0) });
    }
    for (const auto& [vm, peer] : m_board.m_fleet.m_peers) {
        if (!peer.m_loads.m_inSums)
            continue;
        for (const auto& [id, load] : peer.m_loads.m_loads)
            add(id, load);
    }
    for (const auto& [id, load] : sums) {
        digest.loads.emplace_back(
            id, static_cast<std::uint32_t>(load.m_tokens), static_cast<std::uint16_t>(load.m_inFlight));
    }
}

auto DigestExchange::fillFaults(messages::DigestT& digest, MonotonicTime now) const -> void
{
    for (const auto& [id, upstream] : m_board.m_upstreams.m_byShortId) {
        const auto refusedAt = upstream->m_reachability.m_refusedAt;
        const auto refusedThisNode = refusedAt != MonotonicTime() && refusedAt + unreachableTime > now;
        if ((refusedThisNode || isUnreachable(upstream->m_reachability, now))
            && digest.unreachable.size() < maxUnreachable)
            digest.unreachable.push_back(id);
    }
    digest.limits = makeLimitReports(m_board.m_upstreams, ReportScope::DataCentre, now);
    digest.crash_evidence = makeEvidenceReport(m_board.m_crashEvidence, ReportScope::DataCentre, now);
}

auto DigestExchange::forwardToLocalPeers(std::string_view datagram) -> void
{
    const auto copy = std::string(datagram);
    const auto now = Clock::now();
    for (const auto& [vm, peer] : m_board.m_fleet.m_peers) {
        if (isInLocalDataCentre(m_board.m_fleet, peer) && isAlive(peer, now))
            m_socket.send(peer.m_peerAddress, copy);
    }
}

auto DigestExchange::apply(const messages::Digest& message, std::string_view datagram, const Address& from)
    -> void
{
    auto digest = messages::DigestT();
    message.UnPackTo(&digest);
    const auto gateway = VmName(digest.vm);
    const auto dataCentre = DataCentreName(digest.data_centre);
    auto& latest = m_latestDigests[gateway];
    const auto version = std::pair(digest.incarnation, digest.number);
    if (dataCentre == m_settings.m_dataCentre || version <= latest)
        return;
    latest = version;
    if (from.m_host == digest.peer_host && from.m_port == digest.peer_port)
        forwardToLocalPeers(datagram);
    const auto now = Clock::now();
    for (const auto& member : digest.members)
        applyMember(*member, dataCentre, now);
    const auto known = m_board.m_fleet.m_peers.find(gateway);
    if (known != m_board.m_fleet.m_peers.end())
        known->second.m_revisions = revisionsOf(digest);
    applyLoads(digest, now);
    applyFaults(digest, now);
    m_board.m_capacityChanged();
}

auto DigestExchange::applyMember(
    const messages::MemberT& member, const DataCentreName& dataCentre, MonotonicTime now) -> void
{
    const auto vm = VmName(member.vm);
    if (vm.empty() || vm == m_settings.m_vm)
        return;
    auto& fleet = m_board.m_fleet;
    auto& peer = fleet.m_peers[vm];
    const auto receivedAt = now - Milliseconds(member.age_ms);
    const auto known = member.incarnation < peer.m_incarnation
        || (member.incarnation == peer.m_incarnation && receivedAt <= peer.m_lastReceivedAt);
    if (known)
        return;
    if (fleet.m_firstReceivedAt == MonotonicTime())
        fleet.m_firstReceivedAt = now;
    if (peer.m_knownSince == MonotonicTime())
        peer.m_knownSince = now;
    const auto sameRun = peer.m_incarnation == member.incarnation;
    if (sameRun && member.store_reachable && !peer.m_storeReachable)
        m_board.m_storeRecoveredAt = now;
    peer.m_vm = vm;
    peer.m_dataCentre = dataCentre;
    peer.m_number = sameRun ? std::max(peer.m_number, member.number) : member.number;
    peer.m_incarnation = member.incarnation;
    peer.m_callerAddress = Address { member.caller_host, member.caller_port };
    peer.m_peerAddress = Address { member.caller_host, member.peer_port };
    peer.m_processorShare = member.processor_share;
    peer.m_ready = member.ready;
    peer.m_leaving = member.leaving;
    peer.m_storeReachable = member.store_reachable;
    peer.m_stranded = member.stranded;
    peer.m_livenessTimeout = livenessTimeoutOf(fleet, peer);
    peer.m_lastReceivedAt = receivedAt;
}

auto DigestExchange::applyLoads(const messages::DigestT& digest, MonotonicTime now) -> void
{
    auto& report = m_board.m_fleet.m_remoteLoads[DataCentreName(digest.data_centre)];
    replacePeerLoads(m_board, report, digest.loads, now);
}

auto DigestExchange::applyFaults(const messages::DigestT& digest, MonotonicTime now) -> void
{
    applyUnreachableReports(m_board, VmName(digest.vm), digest.unreachable, now);
    applyLimitReports(m_board, digest.limits, ReportSource::RemotePeer, now);
    if (digest.crash_evidence)
        applyEvidenceReport(m_board.m_crashEvidence, *digest.crash_evidence, ReportSource::RemotePeer, now);
}

} // namespace marigoldladder::relay
