// The state that the holder of the order lease keeps of each engine: which orders are under way there, and
// how many the engine has accepted. No I/O.
//
// Each order contains the number of orders that the engine must have accepted before it. The engine compares
// the number with its own count when it carries the order out. An order whose answer was lost can therefore
// not take effect after a later one, whichever node sent it, and a node that takes over the lease needs no
// list of its predecessor's unanswered orders.
#pragma once

#include "relay/adapter_order.h"

#include <deque>
#include <map>
#include <set>

namespace marigoldladder::relay {

// An order that was sent and got no answer.
struct UnconfirmedOrder {
    MonotonicTime m_expiresAt {}; // The engine may carry it out until then.
    std::optional<std::uint64_t> m_acceptedBefore; // As in the order.
};

// The orders for one engine, from its queue to their outcomes. Maps and sets are keyed by `model/adapter`.
struct EngineOrders {
    std::weak_ptr<const Upstream> m_run; // The engine's run; see `isOfRun`.
    std::deque<AdapterOrder> m_queue; // Not sent yet; sent one at a time.
    bool m_sending = false; // An order was sent, and its call has not ended.
    // Loads that are queued, sent or accepted, with their expected end.
    std::map<std::string, MonotonicTime> m_loading;
    std::set<std::string> m_unansweredLoads; // Loads queued or sent, not yet answered.
    std::set<std::string> m_unloading; // Unloads queued or sent, not yet answered.
    std::map<std::string, UnconfirmedOrder> m_unconfirmed;
    // Loads that replace an older version, with the time of the order. Each takes one more slot until the
    // load has ended.
    std::map<std::string, MonotonicTime> m_replacing;
    // Adapters that the engine unloaded by order, with the time. They are cached at the engine, which reloads
    // them much faster than from the weight store.
    std::map<std::string, MonotonicTime> m_unloadedAt;
    // Orders the engine has accepted; empty if unknown or if the engine doesn't count them.
    std::optional<std::uint64_t> m_acceptedCount;
    // Of these, orders that the engine has certainly accepted. It doesn't count an unload of an adapter that
    // it doesn't have, for example as its load is still under way, and answers it like one that it completed.
    std::uint64_t m_confirmedCount = 0;
    MonotonicTime m_lastAcceptedAt {}; // When the last of this node's orders was answered as accepted.
    // Time of the last report on the adapters it holds. Zero if there is none since this node acquired the
    // lease or since an order's outcome was left open; the engine gets no order before its next report.
    MonotonicTime m_reportedAt {};
    MonotonicTime m_reportRequestedAt {};
    MonotonicTime m_modelLoadingUntil {}; // Expected end of a model's load.
    // It accepts no unloads until then, since it waits for the requests on another adapter to end.
    MonotonicTime m_noUnloadsUntil {};
    MonotonicTime m_avoidUntil {}; // It did not accept an order, and gets no other until then.
};

// Keyed by the engine's name, since orders that got no answer may reach its next run under the same name.
using EngineOrderTracker = std::map<UpstreamName, EngineOrders>;

// Whether the entry is of this run of the engine.
auto isOfRun(const EngineOrders&, const Upstream&) -> bool;

// Returns the engine's entry. For a new run of the engine the entry is reset, except for unconfirmed orders,
// which the new run may still carry out.
auto ordersOf(EngineOrderTracker&, const Upstream&) -> EngineOrders&;

// Adds an order to the engine's queue, so that the next plan counts it. `until`: its expected end.
auto enqueueOrder(EngineOrders&, const AdapterOrder&, MonotonicTime now, MonotonicTime until) -> void;

// Returns the next order to send, with the accepted count that it depends on. Returns nothing while another
// order is being sent. If the engine has to report first, cancels the queue and returns nothing.
auto dequeueOrder(EngineOrders&) -> std::optional<AdapterOrder>;

// Removes the queued orders that were not sent, and what was recorded for them.
auto cancelQueuedOrders(EngineOrders&) -> void;

// Applies the answer to the order that was dequeued last.
auto applyOrderAnswer(EngineOrders&, const AdapterOrder&, OrderAnswer, MonotonicTime now) -> void;

// Applies the number of accepted orders from an engine's report that was requested at `requestedAt`. Returns
// false if the report may be older than an order known to be accepted. Such a report shows that the engine is
// alive, and nothing else; where a report is required, another one has to follow.
auto applyAcceptedCount(EngineOrders&, std::optional<std::uint64_t> accepted, MonotonicTime requestedAt)
    -> bool;

// Applies the adapters that an engine reports as loading beside an older version.
auto applyReplacing(EngineOrders&, const std::set<std::string>& adapters, MonotonicTime requestedAt) -> void;

// Whether the engine recently unloaded the adapter, and so has it cached.
auto isCachedAtEngine(const EngineOrders&, const std::string& adapter) -> bool;

// Whether the engine's last report is recent enough to plan with. The engine's entry in the store is no
// substitute, as it may be older than the orders carried out since.
auto hasFreshReport(const EngineOrders&, MonotonicTime now) -> bool;

// Makes each engine report again before it gets an order. To be called after a time in which this node sent
// no orders, as its data on engines may have been replaced by older entries meanwhile.
auto requireReports(EngineOrderTracker&) -> void;

// Removes engines that no longer exist, unless they have unconfirmed orders, and loads and unconfirmed orders
// whose time is over.
auto eraseExpiredEntries(EngineOrderTracker&, const UpstreamTable&, MonotonicTime now) -> void;

// Returns the time after which an unanswered order sent by `now` can no longer be carried out.
auto unconfirmedOrderExpiry(MonotonicTime now) -> MonotonicTime;

} // namespace marigoldladder::relay
