// Sends this node's summary to the other nodes and enters theirs.
#pragma once

#include "relay/adapter_demand.h"
#include "relay/object_store.h"
#include "relay/peer_socket.h"
#include "relay/relay_board.h"
#include "relay/relay_settings.h"
#include "relay/tcp.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>

namespace marigoldladder::relay::messages {
struct Summary;
struct SummaryT;
} // namespace marigoldladder::relay::messages

namespace marigoldladder::relay {

class PeerExchange {
public:
    PeerExchange(Executor, const RelaySettings&, RelayBoard&, const ObjectStore&, PeerSocket&, Incarnation);

    // Starts to tell.
    auto start(std::function<bool()> isReady) -> void;

    // Takes a peer's summary. Returns whether it was new.
    auto apply(const messages::Summary&) -> bool;

    // Tells all peers at once, besides the regular times: of orders, or that this node leaves.
    auto sendToAll() -> void;

    // Tells all peers in a moment, together with what else there is to tell by then.
    auto scheduleSendToAll() -> void;

    // Tells the node that gives orders at once what adapters are waited for.
    auto sendToHolder() -> void;

    // How many nodes could give orders and come before this one: those with more processor time, then by
    // name.
    auto rankAmongReady() const -> std::size_t;

    // Whether every other node has told that it got a summary which this node sent lately; false when none is
    // known. Counted from the sending, since what a peer told may itself have waited for this node.
    auto isAcknowledgedByAll() const -> bool;

private:
    auto sendPeriodically() -> Awaitable<void>;
    auto joinFleet() -> Awaitable<void>;
    auto ownEntry() const -> StoredObject;
    auto registerSelf() -> Awaitable<void>;
    auto updateOwnEntry(const StoredObject& found) -> Awaitable<void>;
    auto applyMemberList(const ObjectListing&) -> Awaitable<void>;
    auto addMember(const StoredObject&) -> void;
    auto refreshMembers() -> Awaitable<void>;
    auto interval() const -> Milliseconds;
    // What a summary tells, by who reads it.
    enum class Recipient {
        Local, // All that a node has to tell.
        Holder, // Beside it, which adapters are asked for.
        Remote, // Only that the sender is there: of the rest digests tell.
        Gateway, // What the holder has ordered, to be passed on.
    };

    auto sendToSmallFleet() -> void;
    auto sendToLocalPeers() -> void;
    auto announceHolderToRemotePeers() -> void;
    auto sendToGateways() -> void;
    auto makeSummary(Recipient) -> std::string;
    auto fillContents(messages::SummaryT&, Recipient) const -> void;
    auto fillLoads(messages::SummaryT&) const -> void;
    auto fillUnreachable(messages::SummaryT&) const -> void;
    auto fillSuspects(messages::SummaryT&) const -> void;
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
    std::uint64_t m_number = 0;
    std::deque<std::pair<std::uint64_t, BootClockTime>> m_sent; // Numbers and when they were sent.
    std::size_t m_round = 0; // Of the regular summaries.
    bool m_sendPending = false;
    bool m_holderSendPending = false;
};

} // namespace marigoldladder::relay
