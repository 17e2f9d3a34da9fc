#include "relay/peer_exchange.h"

#include "core/log.h"
#include "relay/catalogue.h"
#include "relay/generated/peer_messages_generated.h"
#include "relay/upstream_health.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <cmath>

namespace marigoldladder::relay {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr auto memberKind = "members"; // Of this project's own objects: one for each node.
    constexpr auto shortestInterval = Milliseconds(100);
    constexpr auto intervalAPeer = Milliseconds(4); // So that a node's messages a second stay bounded.
    // In a large fleet, bytes between data centres are mostly summaries, so far peers get each third one.
    constexpr auto nodesToldEveryTime = std::size_t { 16 };
    constexpr auto farRounds = 3U;
    constexpr auto nearSilence = Milliseconds(1'500);
    constexpr auto farSilence = Milliseconds(2'600);
    // News that are not urgent wait so long for others: adapters take far longer to load.
    constexpr auto tellDelay = Milliseconds(25);
    constexpr auto registrationPause = Milliseconds(500);
    constexpr auto missingMemory = Milliseconds(250); // Told in a few summaries.
    constexpr auto reloadTime = Milliseconds(700); // An adapter ordered since may be missing no more.
    constexpr auto hearingTime = Milliseconds(1'000); // In which all must have heard the holder.

} // namespace

PeerExchange::PeerExchange(Executor executor, const RelaySettings& settings, RelayBoard& board,
    const ObjectStore& store, Incarnation incarnation)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_board(board)
    , m_store(store)
    , m_incarnation(incarnation)
    , m_socket(m_executor)
{
}

auto PeerExchange::start(std::function<bool()> isReady) -> bool
{
    m_isReady = std::move(isReady);
    if (!open())
        return false;
    net::co_spawn(m_executor, receive(), net::detached);
    net::co_spawn(m_executor, tellRegularly(), net::detached);
    net::co_spawn(m_executor, joinFleet(), net::detached);
    return true;
}

auto PeerExchange::open() -> bool
{
    auto error = ErrorCode();
    const auto ip = net::ip::make_address(m_settings.m_peerAddress.m_host, error);
    const auto endpoint
        = net::ip::udp::endpoint(ip, static_cast<unsigned short>(m_settings.m_peerAddress.m_port));
    if (!error)
        m_socket.open(endpoint.protocol(), error);
    if (!error)
        m_socket.bind(endpoint, error);
    if (!error)
        m_socket.non_blocking(true, error);
    if (error)
        logWarning("peer_port_failed", { { "reason", error.message() } });
    return !error;
}

auto PeerExchange::interval() const -> Milliseconds
{
    return std::max<Milliseconds>(shortestInterval, intervalAPeer * static_cast<int>(m_board.m_nodes));
}

auto PeerExchange::isFewNodes() const -> bool
{
    return m_board.m_nodes <= nodesToldEveryTime;
}

auto PeerExchange::isNear(const Peer& peer) const -> bool
{
    // Orders may go on while all hear the holder, so it hears from all, and all from it, in time.
    return peer.m_dataCentre == m_settings.m_dataCentre || m_board.m_orders.m_holding
        || peer.m_vm == m_board.m_fleet.m_holder.m_vm;
}

auto PeerExchange::tellRegularly() -> Awaitable<void>
{
    for (auto round = 0U;; ++round) {
        co_await sleepFor(interval());
        const auto now = Clock::now();
        forgetLostPeers(m_board.m_fleet, now);
        forgetIdleAdapters(m_board.m_adapterRates, now);
        std::erase_if(m_board.m_missing,
            [&](const MissingAdapter& missing) { return missing.m_noticedAt + missingMemory <= now; });
        m_board.m_nodes = sharingNodes(m_board.m_fleet);
        addUpLoads();
        updateBudgets(now);
        // What the store tells spreads from the nodes that watch it.
        const auto watches
            = shouldWatchStore(m_board.m_fleet, m_settings.m_vm, m_board.m_storeReachable, now);
        tell(isFewNodes() || watches || round % farRounds == 0);
    }
}

auto PeerExchange::updateBudgets(MonotonicTime now) -> void
{
    if (!m_board.m_configuration)
        return;
    for (const auto& organisation : m_board.m_configuration->m_organisations) {
        const auto demand = demandOf(m_board.m_budgets.m_budgets[organisation.m_name], now);
        const auto parts
            = organisationParts(m_board.m_fleet, shortId(organisation.m_name.value()), demand, now);
        updateFleetLevels(m_board.m_budgets, organisation, parts.m_heard, now);
    }
}

auto PeerExchange::tellAll() -> void
{
    tell(true);
}

auto PeerExchange::tell(bool alsoFar) -> void
{
    const auto plain = makeSummary(false);
    const auto& holder = m_board.m_fleet.m_holder.m_vm;
    for (const auto& [vm, peer] : m_board.m_fleet.m_peers) {
        if (!alsoFar && !isNear(peer))
            continue;
        if (vm == holder)
            send(peer, makeSummary(true));
        else
            send(peer, plain);
    }
}

auto PeerExchange::tellSoon() -> void
{
    if (m_tellPending)
        return;
    m_tellPending = true;
    net::co_spawn(
        m_executor,
        [this]() -> Awaitable<void> {
            co_await sleepFor(tellDelay);
            m_tellPending = false;
            tellAll();
        },
        net::detached);
}

auto PeerExchange::tellHolder() -> void
{
    if (m_holderTellPending)
        return;
    m_holderTellPending = true;
    // After the current event, so that requests that came together are told of together.
    net::post(m_executor, [this] {
        m_holderTellPending = false;
        const auto found = m_board.m_fleet.m_peers.find(m_board.m_fleet.m_holder.m_vm);
        if (found != m_board.m_fleet.m_peers.end())
            send(found->second, makeSummary(true));
    });
}

auto PeerExchange::rankAmongReady() const -> std::size_t
{
    const auto now = Clock::now();
    const auto comesBefore = [&](const Peer& peer) {
        return std::pair(-peer.m_processorShare, peer.m_vm)
            < std::pair(-m_settings.m_processorShare, m_settings.m_vm);
    };
    const auto& peers = m_board.m_fleet.m_peers;
    return static_cast<std::size_t>(std::count_if(peers.begin(), peers.end(), [&](const auto& entry) {
        const auto& peer = entry.second;
        return peer.m_ready && !peer.m_leaving && isAlive(peer, now) && comesBefore(peer);
    }));
}

auto PeerExchange::heardByAll() const -> bool
{
    const auto now = uninterruptedNow();
    const auto& peers = m_board.m_fleet.m_peers;
    return !peers.empty() && std::all_of(peers.begin(), peers.end(), [&](const auto& entry) {
        return entry.second.m_heardHolderAt + hearingTime > now;
    });
}

auto PeerExchange::send(const Peer& peer, const std::string& datagram) -> void
{
    auto error = ErrorCode();
    const auto ip = net::ip::make_address(peer.m_peerAddress.m_host, error);
    if (error)
        return;
    const auto endpoint = net::ip::udp::endpoint(ip, static_cast<unsigned short>(peer.m_peerAddress.m_port));
    // A datagram that can't be sent now is lost like any other; the next one says more.
    m_socket.send_to(net::buffer(datagram), endpoint, 0, error);
}

auto PeerExchange::receive() -> Awaitable<void>
{
    for (;;) {
        auto error = ErrorCode();
        auto from = net::ip::udp::endpoint();
        const auto length
            = co_await m_socket.async_receive_from(net::buffer(m_received), from, errorTo(error));
        if (error == net::error::operation_aborted)
            co_return;
        if (error)
            continue;
        auto verifier
            = flatbuffers::Verifier(reinterpret_cast<const std::uint8_t*>(m_received.data()), length);
        if (!messages::VerifySummaryBuffer(verifier))
            continue;
        auto summary = messages::SummaryT();
        messages::GetSummary(m_received.data())->UnPackTo(&summary);
        enter(summary, Address { from.address().to_string(), from.port() });
    }
}

auto PeerExchange::enter(const messages::SummaryT& summary, const Address& from) -> void
{
    const auto vm = VmName(summary.vm);
    if (vm.empty() || vm == m_settings.m_vm)
        return;
    const auto now = Clock::now();
    auto& peer = m_board.m_fleet.m_peers[vm];
    const auto newer
        = std::pair(summary.incarnation, summary.number) > std::pair(peer.m_incarnation, peer.m_number);
    if (!newer)
        return;
    if (peer.m_heardAt == MonotonicTime() && peer.m_knownSince == MonotonicTime())
        peer.m_knownSince = now;
    const auto sameRun = peer.m_incarnation == summary.incarnation;
    peer.m_vm = vm;
    peer.m_dataCentre = DataCentreName(summary.data_centre);
    peer.m_incarnation = summary.incarnation;
    peer.m_number = summary.number;
    peer.m_callerAddress = Address { summary.caller_host, summary.caller_port };
    peer.m_peerAddress = Address { from.m_host, summary.peer_port };
    peer.m_ready = summary.ready;
    peer.m_processorShare = summary.processor_share;
    if (summary.store_reachable && !peer.m_storeReachable && sameRun)
        m_board.m_storeBackAt = now;
    peer.m_storeReachable = summary.store_reachable;
    peer.m_revisions = summary.revisions;
    peer.m_leaving = summary.leaving;
    peer.m_silenceBound = isNear(peer) || isFewNodes() ? nearSilence : farSilence;
    peer.m_configurationVersion = summary.configuration_version;
    peer.m_heardAt = now;
    enterLoads(summary, peer);
    peer.m_organisationDemand.clear();
    for (auto index = std::size_t { 0 }; index < summary.organisations.size(); ++index) {
        const auto& demand = summary.organisations[index];
        peer.m_organisationDemand[demand.organisation()] = demand.tokens_per_second();
        auto spending = PeerSpending { summary.incarnation, demand.spent(), {} };
        if (index < summary.fleet_levels.size() && std::isfinite(summary.fleet_levels[index]))
            spending.m_fleetLevel = summary.fleet_levels[index];
        enterPeerSpending(m_board.m_budgets, demand.organisation(), vm, spending);
    }
    for (const auto& suspect : summary.suspects)
        mergeReport(m_board.m_poison, vm, suspect.fingerprint(), CrashReport { suspect.crashes(), 0 }, now);
    enterHolder(summary, now);
    enterUnreachable(summary, now);
    if (m_board.m_orders.m_holding && !summary.demands.empty()) {
        auto& rates = m_board.m_fleetDemand.m_byNode[vm];
        rates.clear();
        for (const auto& demand : summary.demands)
            rates[demand->adapter]
                = AdapterRate { demand->requests_per_second, now, demand->waiting, demand->in_flight };
        enterMissing(summary, now);
        m_board.m_adapterWanted();
    }
    m_board.m_capacityChanged();
}

auto PeerExchange::enterLoads(const messages::SummaryT& summary, Peer& peer) -> void
{
    auto loads = std::unordered_map<std::uint32_t, PeerLoad>();
    for (const auto& load : summary.loads)
        loads[load.upstream()] = PeerLoad { load.in_flight(), static_cast<double>(load.tokens()) };
    const auto before = peer.m_loads;
    replaceLoads(m_board.m_fleet, peer, std::move(loads));
    for (const auto& [id, load] : before)
        showLoad(id);
    for (const auto& [id, load] : peer.m_loads)
        showLoad(id);
}

auto PeerExchange::showLoad(std::uint32_t upstreamId) -> void
{
    const auto found = m_board.m_upstreams.m_byShortId.find(upstreamId);
    if (found == m_board.m_upstreams.m_byShortId.end())
        return;
    const auto& sum = m_board.m_fleet.m_loadSums[upstreamId];
    found->second->m_peersInFlight = sum.m_inFlight;
    found->second->m_peersTokensInFlight = sum.m_tokens;
}

auto PeerExchange::enterHolder(const messages::SummaryT& summary, MonotonicTime now) -> void
{
    auto& peer = m_board.m_fleet.m_peers[VmName(summary.vm)];
    const auto heardAt = now - Milliseconds(summary.holder_age_ms);
    auto& holder = m_board.m_fleet.m_holder;
    const auto& orders = m_board.m_orders;
    peer.m_heardHolderAt = {};
    if (orders.m_holding && summary.holder == m_settings.m_vm.value()
        && summary.holder_fence == orders.m_fence)
        peer.m_heardHolderAt = sentAt(summary.holder_number);
    if (summary.holder.empty() || summary.holder_fence < holder.m_fence)
        return;
    if (summary.holder_fence > holder.m_fence) {
        holder.m_vm = VmName(summary.holder);
        holder.m_fence = summary.holder_fence;
        holder.m_heardAt = {};
        logChange("order_holder_known", { { "holder", summary.holder } });
    }
    holder.m_heardAt = std::max(holder.m_heardAt, heardAt);
    if (summary.vm == summary.holder)
        enterOrders(summary, now);
}

auto PeerExchange::sentAt(std::uint64_t number) const -> UninterruptedTime
{
    if (m_sent.empty() || number < m_sent.front().first || number > m_sent.back().first)
        return {};
    return m_sent[number - m_sent.front().first].second;
}

auto PeerExchange::enterUnreachable(const messages::SummaryT& summary, MonotonicTime now) -> void
{
    for (const auto id : summary.unreachable) {
        const auto found = m_board.m_upstreams.m_byShortId.find(id);
        if (found == m_board.m_upstreams.m_byShortId.end())
            continue;
        auto& reach = found->second->m_reach;
        const auto wasKnown = isUnreachable(reach, now);
        reach.m_refusedPeers[VmName(summary.vm)] = now;
        if (!wasKnown && isUnreachable(reach, now) && m_board.m_orders.m_holding)
            m_board.m_adapterWanted();
    }
}

auto PeerExchange::enterMissing(const messages::SummaryT& summary, MonotonicTime now) -> void
{
    for (const auto& missing : summary.missing) {
        const auto upstream = m_board.m_upstreams.m_byShortId.find(missing->upstream);
        if (upstream == m_board.m_upstreams.m_byShortId.end())
            continue;
        const auto found = upstream->second->m_adapters.find(missing->adapter);
        if (found != upstream->second->m_adapters.end() && found->second.m_toldAt + reloadTime < now)
            markMissing(found->second, now);
    }
}

auto PeerExchange::enterOrders(const messages::SummaryT& summary, MonotonicTime now) -> void
{
    // They come newest first; the newest of an adapter at an engine has to be the last one entered.
    for (auto at = summary.orders.rbegin(); at != summary.orders.rend(); ++at) {
        const auto& order = **at;
        const auto found = m_board.m_upstreams.m_byShortId.find(order.upstream);
        if (found == m_board.m_upstreams.m_byShortId.end())
            continue;
        const auto orderedAt = now - Milliseconds(order.age_ms);
        const auto presence = found->second->m_adapters.find(order.adapter);
        const auto known = presence != found->second->m_adapters.end()
            && presence->second.m_toldAt + Milliseconds(30) >= orderedAt;
        if (known)
            continue;
        if (order.version == 0) {
            enterDroppedAdapter(*found->second, order.adapter, true, orderedAt);
            continue;
        }
        enterOrderedAdapter(*found->second, ListedAdapter { order.adapter, order.version },
            now + Milliseconds(order.ready_in_ms), orderedAt);
    }
}

auto PeerExchange::addUpLoads() -> void
{
    sumLoads(m_board.m_fleet, Clock::now());
    for (const auto& [id, upstream] : m_board.m_upstreams.m_byShortId)
        showLoad(id);
}

auto PeerExchange::joinFleet() -> Awaitable<void>
{
    co_await registerSelf();
    co_await learnMembers();
}

auto PeerExchange::registerSelf() -> Awaitable<void>
{
    auto object = StoredObject();
    object.m_name = m_settings.m_vm.value();
    object.m_content = nlohmann::json { { "peer_address", formatAddress(m_settings.m_peerAddress) },
        { "caller_address", formatAddress(m_settings.m_callerAddress) },
        { "data_centre", m_settings.m_dataCentre.value() } };
    for (;;) {
        auto created = co_await m_store.m_create(memberKind, object);
        if (created)
            co_return;
        if (created.error().m_type == StoreFailureType::Conflict) {
            auto present = co_await m_store.m_get(memberKind, object.m_name);
            if (present && present.value().m_content == object.m_content)
                co_return;
            if (present) {
                object.m_revision = present.value().m_revision;
                auto replaced = co_await m_store.m_replace(memberKind, object);
                if (replaced)
                    co_return;
            }
            object.m_revision = 0;
        }
        co_await sleepFor(registrationPause);
    }
}

auto PeerExchange::enterMember(const StoredObject& object) -> void
{
    const auto vm = VmName(object.m_name);
    const auto known = vm == m_settings.m_vm || m_board.m_fleet.m_peers.contains(vm);
    if (known || !object.m_content.is_object())
        return;
    const auto address = parseAddress(object.m_content.value("peer_address", ""));
    if (!address)
        return;
    auto& peer = m_board.m_fleet.m_peers[vm];
    peer.m_vm = vm;
    peer.m_peerAddress = *address;
    peer.m_knownSince = Clock::now();
}

// A node that registers later reads this one's entry and tells it of itself, so one reading after the own
// registration would do if nobody were ever cut off or started again elsewhere.
auto PeerExchange::learnMembers() -> Awaitable<void>
{
    for (;;) {
        auto listing = co_await m_store.m_list(memberKind);
        if (listing) {
            for (const auto& object : listing.value().m_objects)
                enterMember(object);
        }
        co_await sleepFor(listing ? memberReadPause(m_board.m_fleet, Clock::now()) : registrationPause);
    }
}

} // namespace marigoldladder::relay
