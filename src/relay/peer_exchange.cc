#include "relay/peer_exchange.h"

#include "core/json_fields.h"
#include "core/log.h"
#include "relay/data_centre_gateways.h"
#include "relay/generated/peer_messages_generated.h"
#include "relay/peer_loads.h"
#include "relay/request_limit_report.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace marigoldladder::relay {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr auto memberKind = "members"; // The kind of store objects that list the nodes.
    constexpr auto minSendInterval = Milliseconds(100);
    constexpr auto sendIntervalPerPeer = Milliseconds(4); // Bounds the messages that a node sends a second.
    constexpr auto sendIntervalPerLocalPeer = Milliseconds(10); // The same in a large fleet.
    constexpr auto demandRounds = std::size_t { 3 }; // A large fleet's demand is sent in every third round.
    // Updates that are not urgent are collected for this time: adapters take far longer to load.
    constexpr auto batchDelay = Milliseconds(25);
    constexpr auto memberCheckInterval = Milliseconds(1'000); // Between checks whether the next read is due.
    // Bounds the calls a second of all nodes when the store has returned from an older copy.
    constexpr auto registerDelayPerNodeMs = 40;
    constexpr auto storeRetryInterval = Milliseconds(500);
    constexpr auto missingRetention = Milliseconds(250); // So that a few summaries contain the adapter.
    constexpr auto acknowledgementTimeout = Milliseconds(1'000);

} // namespace

PeerExchange::PeerExchange(Executor executor, const RelaySettings& settings, RelayBoard& board,
    const ObjectStore& store, PeerSocket& socket, Incarnation incarnation)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_board(board)
    , m_store(store)
    , m_socket(socket)
    , m_incarnation(incarnation)
    , m_random(std::random_device()())
{
    m_board.m_fleet.m_localDataCentre = settings.m_dataCentre;
}

auto PeerExchange::start(std::function<bool()> isReady) -> void
{
    m_isReady = std::move(isReady);
    runLoop(m_executor, "summaries", m_board.m_metrics, [this] { return sendPeriodically(); });
    runLoop(m_executor, "members", m_board.m_metrics, [this] { return joinFleet(); });
}

auto PeerExchange::interval() const -> Milliseconds
{
    const auto& fleet = m_board.m_fleet;
    const auto time = isSmallFleet(fleet)
        ? sendIntervalPerPeer * static_cast<int>(fleetSize(fleet))
        : sendIntervalPerLocalPeer * static_cast<int>(localPeerCount(fleet));
    return std::max<Milliseconds>(minSendInterval, time);
}

auto PeerExchange::sendPeriodically() -> Awaitable<void>
{
    for (;; ++m_round) {
        co_await sleepFor(interval());
        const auto now = Clock::now();
        removeLostPeers(m_board.m_fleet, now);
        eraseIdleAdapters(m_board.m_adapterRates, now);
        std::erase_if(m_board.m_missingAdapters,
            [&](const MissingAdapter& missing) { return missing.m_noticedAt + missingRetention <= now; });
        m_board.m_nodes = fleetSize(m_board.m_fleet);
        recomputePeerLoads(m_board, now);
        if (isSmallFleet(m_board.m_fleet)) {
            sendToSmallFleet();
            continue;
        }
        sendToLocalPeers();
        announceHolderToRemotePeers();
    }
}

auto PeerExchange::sendToSmallFleet() -> void
{
    const auto plain = makeSummary(Recipient::Local);
    const auto& holder = m_board.m_fleet.m_holder.m_vm;
    for (const auto& [vm, peer] : m_board.m_fleet.m_peers)
        m_socket.send(peer.m_peerAddress, vm == holder ? makeSummary(Recipient::Holder) : plain);
}

auto PeerExchange::sendToLocalPeers() -> void
{
    const auto plain = makeSummary(Recipient::Local);
    const auto& holder = m_board.m_fleet.m_holder.m_vm;
    for (const auto& [vm, peer] : m_board.m_fleet.m_peers) {
        if (isInLocalDataCentre(m_board.m_fleet, peer) && vm != holder)
            m_socket.send(peer.m_peerAddress, plain);
    }
    const auto found = m_board.m_fleet.m_peers.find(holder);
    if (found == m_board.m_fleet.m_peers.end())
        return;
    const auto isRemote = !isInLocalDataCentre(m_board.m_fleet, found->second);
    const auto otherwise = isRemote ? Recipient::Remote : Recipient::Local;
    const auto recipient = m_round % demandRounds == 0 ? Recipient::Holder : otherwise;
    m_socket.send(found->second.m_peerAddress, makeSummary(recipient));
}

// After a failed lease renewal the holder may continue to give orders while all nodes acknowledge its
// summaries, so it sends them to all.
auto PeerExchange::announceHolderToRemotePeers() -> void
{
    if (!m_board.m_orders.m_holdsLease)
        return;
    const auto summary = makeSummary(Recipient::Remote);
    for (const auto& [vm, peer] : m_board.m_fleet.m_peers) {
        if (!isInLocalDataCentre(m_board.m_fleet, peer))
            m_socket.send(peer.m_peerAddress, summary);
    }
}

auto PeerExchange::sendToGateways() -> void
{
    const auto summary = makeSummary(Recipient::Gateway);
    const auto now = Clock::now();
    for (const auto& dataCentre : remoteDataCentres(m_board.m_fleet)) {
        for (const auto* gateway : gatewaysOf(m_board.m_fleet, dataCentre, now, m_number))
            m_socket.send(gateway->m_peerAddress, summary);
    }
}

auto PeerExchange::sendToAll() -> void
{
    if (isSmallFleet(m_board.m_fleet)) {
        sendToSmallFleet();
        return;
    }
    sendToLocalPeers();
    if (m_board.m_orders.m_holdsLease || m_board.m_leaving)
        sendToGateways();
}

auto PeerExchange::scheduleSendToAll() -> void
{
    if (m_sendPending)
        return;
    m_sendPending = true;
    runAfter(m_executor, "summary", m_board.m_metrics, batchDelay, [this] {
        m_sendPending = false;
        sendToAll();
    });
}

auto PeerExchange::sendToHolder() -> void
{
    if (m_holderSendPending)
        return;
    m_holderSendPending = true;
    // Runs after the current event, so that the demand of requests that arrive together is sent once.
    net::post(m_executor, [this] {
        m_holderSendPending = false;
        const auto found = m_board.m_fleet.m_peers.find(m_board.m_fleet.m_holder.m_vm);
        if (found != m_board.m_fleet.m_peers.end())
            m_socket.send(found->second.m_peerAddress, makeSummary(Recipient::Holder));
    });
}

auto PeerExchange::rankAmongReady() const -> std::size_t
{
    const auto now = Clock::now();
    const auto isPreferred = [&](const Peer& peer) {
        return std::pair(-peer.m_processorShare, peer.m_vm)
            < std::pair(-m_settings.m_processorShare, m_settings.m_vm);
    };
    const auto& peers = m_board.m_fleet.m_peers;
    return static_cast<std::size_t>(std::count_if(peers.begin(), peers.end(), [&](const auto& entry) {
        const auto& peer = entry.second;
        return peer.m_ready && !peer.m_leaving && !peer.m_stranded && isAlive(peer, now) && isPreferred(peer);
    }));
}

auto PeerExchange::isAcknowledgedByAll() const -> bool
{
    const auto now = bootClockNow();
    const auto& peers = m_board.m_fleet.m_peers;
    return !peers.empty() && std::all_of(peers.begin(), peers.end(), [&](const auto& entry) {
        return entry.second.m_holderAcknowledgedAt + acknowledgementTimeout > now;
    });
}

auto PeerExchange::joinFleet() -> Awaitable<void>
{
    co_await registerSelf();
    co_await refreshMembers();
}

auto PeerExchange::ownEntry() const -> StoredObject
{
    auto object = StoredObject();
    object.m_name = m_settings.m_vm.value();
    object.m_content = nlohmann::json { { "peer_address", formatAddress(m_settings.m_peerAddress) },
        { "caller_address", formatAddress(m_settings.m_callerAddress) },
        { "data_centre", m_settings.m_dataCentre.value() } };
    return object;
}

// An entry of an earlier process of this node is left; `updateOwnEntry` replaces it once it is read and
// differs.
auto PeerExchange::registerSelf() -> Awaitable<void>
{
    for (;;) {
        auto created = co_await m_store.m_create(memberKind, ownEntry());
        if (created || created.error().m_type == StoreFailureType::Conflict)
            co_return;
        co_await sleepFor(storeRetryInterval);
    }
}

auto PeerExchange::registerAgain() -> void
{
    runLoop(m_executor, "register_again", m_board.m_metrics, [this] { return registerAfterRestore(); });
}

// All nodes notice a restore at about the same time, so each waits for a random time.
auto PeerExchange::registerAfterRestore() -> Awaitable<void>
{
    const auto maxDelay = registerDelayPerNodeMs * static_cast<int>(fleetSize(m_board.m_fleet));
    const auto delay = std::uniform_int_distribution<int>(0, maxDelay)(m_random);
    co_await sleepFor(Milliseconds(delay));
    auto found = co_await m_store.m_get(memberKind, m_settings.m_vm.value());
    if (found)
        co_await updateOwnEntry(found.value());
    else
        co_await registerSelf();
}

auto PeerExchange::updateOwnEntry(const StoredObject& found) -> Awaitable<void>
{
    auto object = ownEntry();
    if (found.m_content == object.m_content)
        co_return;
    object.m_revision = found.m_revision;
    auto replaced = co_await m_store.m_replace(memberKind, object);
    if (!replaced)
        logWarning("own_entry_not_replaced", { { "reason", replaced.error().m_message } });
}

auto PeerExchange::addMember(const StoredObject& object) -> void
{
    const auto vm = VmName(object.m_name);
    if (m_board.m_fleet.m_peers.contains(vm))
        return;
    const auto address = parseAddress(textOr(object.m_content, "peer_address", ""));
    if (!address)
        return;
    auto& peer = m_board.m_fleet.m_peers[vm];
    peer.m_vm = vm;
    peer.m_peerAddress = *address;
    peer.m_dataCentre = DataCentreName(textOr(object.m_content, "data_centre", ""));
    peer.m_knownSince = Clock::now();
}

auto PeerExchange::applyMemberList(const ObjectListing& listing) -> Awaitable<void>
{
    for (const auto& object : listing.m_objects) {
        if (object.m_name == m_settings.m_vm.value())
            co_await updateOwnEntry(object);
        else
            addMember(object);
    }
    m_board.m_fleet.m_membersRead = true;
}

// A node that registers later reads this node's entry and sends summaries to it. The list is still read
// repeatedly, for nodes that were partitioned from this one or restarted at another address.
auto PeerExchange::refreshMembers() -> Awaitable<void>
{
    for (;;) {
        auto listing = co_await m_store.m_list(memberKind, ListingAge::Current);
        if (!listing) {
            co_await sleepFor(storeRetryInterval);
            continue;
        }
        m_incompleteListings.note(memberKind, listing.value());
        co_await applyMemberList(listing.value());
        const auto readAt = Clock::now();
        while (Clock::now() < readAt + memberReadInterval(m_board.m_fleet, Clock::now()))
            co_await sleepFor(memberCheckInterval);
    }
}

} // namespace marigoldladder::relay
