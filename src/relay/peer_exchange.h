// Sends this node's summary to the other nodes and applies theirs to the relay board.
#pragma once

#include "relay/adapter_demand.h"
#include "relay/object_store.h"
#include "relay/paged_listing.h"
#include "relay/peer_socket.h"
#include "relay/relay_board.h"
#include "relay/relay_settings.h"
#include "relay/tcp.h"

#include <deque>
#include <functional>
#include <random>

namespace marigoldladder::relay::messages {
struct Summary;
struct SummaryT;
} // namespace marigoldladder::relay::messages

namespace marigoldladder::relay {

class PeerExchange {
public:
    PeerExchange(Executor, const RelaySettings&, RelayBoard&, const ObjectStore&, PeerSocket&, Incarnation);

    // Starts sending summaries periodically, and registers this node in the store's list of nodes.
    auto start(std::function<bool()> isReady) -> void;

    // Registers this node again, soon: the store has returned from an older copy, which may lack its entry.
    auto registerAgain() -> void;

    // Applies a peer's summary. Returns false when the peer's latest summary is as new or newer.
    auto apply(const messages::Summary&) -> bool;

    // Sends a summary to all peers immediately, in addition to the periodic ones: after new orders, or when
    // this node begins to leave.
    auto sendToAll() -> void;

    // Sends a summary to all peers after a short delay, so that several changes are sent together.
    auto scheduleSendToAll() -> void;

    // Sends the adapter demand of this node to the order lease holder when the current event has been
    // processed.
    auto sendToHolder() -> void;

    // Returns the number of other ready nodes that are preferred to this one as order lease holder: those
    // with more processor time, then those with a lower name.
    auto rankAmongReady() const -> std::size_t;

    // Whether every other node has acknowledged a summary that this node sent recently as lease holder; false
    // when no other node is known. The time counts from the sending of that summary, since an acknowledgement
    // may have been delayed before this node processed it.
    auto isAcknowledgedByAll() const -> bool;

private:
    auto sendPeriodically() -> Awaitable<void>;
    auto joinFleet() -> Awaitable<void>;
    auto ownEntry() const -> StoredObject;
    auto registerSelf() -> Awaitable<void>;
    auto registerAfterRestore() -> Awaitable<void>;
    auto updateOwnEntry(const StoredObject& found) -> Awaitable<void>;
    auto applyMemberList(const ObjectListing&) -> Awaitable<void>;
    auto addMember(const StoredObject&) -> void;
    auto refreshMembers() -> Awaitable<void>;
    auto interval() const -> Milliseconds;
    // The kinds of recipients, which determine the contents of a summary. When this node is the order lease
    // holder, all summaries but those to `Remote` also contain its recent orders.
    enum class Recipient {
        Local, // Loads, evidence on crashes and unreachable upstreams.
        Holder, // The same, the adapter demand and the missing adapters.
        Remote, // Only that the sender is alive: the digests contain the rest.
        Gateway, // Only the orders, to be forwarded.
    };

    auto sendToSmallFleet() -> void;
    auto sendToLocalPeers() -> void;
    auto announceHolderToRemotePeers() -> void;
    auto sendToGateways() -> void;
    auto makeSummary(Recipient) -> std::string;
    auto fillContents(messages::SummaryT&, Recipient) const -> void;
    auto fillLoads(messages::SummaryT&) const -> void;
    auto fillUnreachable(messages::SummaryT&) const -> void;
    auto fillDemands(messages::SummaryT&) const -> void;
    auto fillMissing(messages::SummaryT&) const -> void;
    auto fillOrders(messages::SummaryT&) const -> void;
    auto applySummary(const messages::SummaryT&) -> bool;
    auto applyHolder(const messages::SummaryT&, MonotonicTime now) -> void;
    auto sentAt(std::uint64_t number) const -> BootClockTime;
    auto applyMissing(const messages::SummaryT&, MonotonicTime now) -> void;
    auto applyOrders(const messages::SummaryT&, MonotonicTime now) -> void;

    Executor m_executor;
    const RelaySettings& m_settings;
    RelayBoard& m_board;
    const ObjectStore& m_store;
    PeerSocket& m_socket;
    Incarnation m_incarnation;
    std::function<bool()> m_isReady;
    std::uint64_t m_number = 0; // Of the latest summary.
    std::deque<std::pair<std::uint64_t, BootClockTime>>
        m_sent; // Numbers and sending times of recent summaries.
    std::size_t m_round = 0; // Of the periodic summaries.
    bool m_sendPending = false;
    bool m_holderSendPending = false;
    IncompleteListingLog m_incompleteListings;
    std::mt19937 m_random;
};

} // namespace marigoldladder::relay
