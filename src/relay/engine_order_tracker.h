// What the node that gives orders believes of each engine: which orders are under way there, and how many
// the engine has accepted. No input or output.
//
// Each order names the number of orders that the engine has accepted before it. The engine compares it when
// it carries the order out, so an order whose answer was lost can't take effect after a later one, whoever
// gave it: a node that takes over needs no list of what its predecessor left unanswered.
#pragma once

#include "relay/adapter_order.h"

#include <deque>
#include <map>
#include <set>

namespace marigoldladder::relay {

// An order that got no answer.
struct UnconfirmedOrder {
    MonotonicTime m_expiresAt {}; // It may be carried out until then.
    std::optional<std::uint64_t> m_acceptedBefore; // As in the order.
};

struct EngineOrders {
    const Upstream* m_run = nullptr; // Only compared.
    std::deque<AdapterOrder> m_queue; // Booked, not sent yet; they go one after the other.
    bool m_sending = false; // An order is on its way, or its answer.
    std::map<std::string, MonotonicTime> m_loading; // Accepted, until when they are expected to take.
    std::set<std::string> m_unansweredLoads; // Ordered to be loaded, not yet answered.
    std::set<std::string> m_unloading; // Ordered to go, not yet answered.
    std::map<std::string, UnconfirmedOrder> m_unconfirmed; // By adapter.
    // Ordered in place of an older version, and when; each takes a place more until it has arrived.
    std::map<std::string, MonotonicTime> m_replacing;
    // Adapters that it was ordered to drop, and when. It has them at hand and loads them much faster than
    // from the weight store.
    std::map<std::string, MonotonicTime> m_unloadedAt;
    std::optional<std::uint64_t>
        m_acceptedCount; // Orders the engine has accepted; nothing: it doesn't count.
    MonotonicTime m_lastAcceptedAt {}; // When the last of this node's orders was answered as accepted.
    // When it last told what it holds. Zero: not since this node holds the lease, or not since an order's
    // outcome was left open; it gets no order before the next report.
    MonotonicTime m_reportedAt {};
    MonotonicTime m_reportRequestedAt {};
    MonotonicTime m_modelLoadingUntil {}; // It loads a model until about then.
    MonotonicTime m_noUnloadsUntil {}; // It lets no adapter go, since it waits for another's requests to end.
    MonotonicTime m_avoidUntil {}; // It took no orders.
};

// By the engine's name, since orders that got no answer may reach its next run under the same name.
using EngineOrderTracker = std::map<UpstreamName, EngineOrders>;

// Returns the engine's entry; of an earlier run only what may still be carried out is kept.
auto ordersOf(EngineOrderTracker&, const Upstream&) -> EngineOrders&;

// Adds an order to the engine's queue, so that the next plan counts it. `until`: when it is expected to be
// carried out.
auto enqueueOrder(EngineOrders&, const AdapterOrder&, MonotonicTime now, MonotonicTime until) -> void;

// Returns the next order to send with its condition; nothing while another is on its way, or when the
// engine has to report first: then the queue is emptied.
auto dequeueOrder(EngineOrders&) -> std::optional<AdapterOrder>;

// Takes back the orders that are booked and not sent.
auto cancelQueuedOrders(EngineOrders&) -> void;

// Enters the answer to the order taken last.
auto applyOrderAnswer(EngineOrders&, const AdapterOrder&, OrderAnswer, MonotonicTime now) -> void;

// Enters how many orders an engine says it has accepted, in a report asked for at `askedAt`. Returns false
// if the report is older than an order that this node knows to be accepted; it tells nothing new then.
auto applyAcceptedCount(EngineOrders&, std::optional<std::uint64_t> accepted, MonotonicTime askedAt) -> bool;

// Enters which adapters an engine reports as on their way while it has an older version.
auto applyReplacing(EngineOrders&, const std::set<std::string>& adapters, MonotonicTime askedAt) -> void;

// Whether the engine has lately held an adapter that it doesn't hold now.
auto isCachedAtEngine(const EngineOrders&, const std::string& adapter) -> bool;

// Whether the engine told lately enough what it holds. What its entry in the store lists may be older than
// the orders it has carried out since.
auto hasFreshReport(const EngineOrders&, MonotonicTime now) -> bool;

// Lets no engine get an order before it has reported again. Call it after a time in which this node gave no
// orders: what it knows of engines may have been replaced by older entries meanwhile.
auto requireReports(EngineOrderTracker&) -> void;

// Forgets what is over.
auto eraseExpiredEntries(EngineOrderTracker&, const UpstreamTable&, MonotonicTime now) -> void;

// Returns when an order without answer sent by now is certainly void.
auto unconfirmedOrderExpiry(MonotonicTime now) -> MonotonicTime;

} // namespace marigoldladder::relay
