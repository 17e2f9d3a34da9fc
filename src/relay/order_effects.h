// What the holder of the order lease learns of an engine from reports and from answers to orders. No I/O.
//
// It is designed for engines that get an order every few hundred milliseconds, so that every report is older
// than the last order. Reports and orders carry the number of orders that the engine has accepted: a report
// of an earlier number only shows that the engine is alive, and never replaces what the orders since changed.
#pragma once

#include "relay/engine_calls.h"
#include "relay/engine_order_tracker.h"
#include "relay/relay_board.h"

namespace marigoldladder::relay {

// Applies a report that was requested at `requestedAt`. Returns false if it is older than the orders known to
// be accepted; then what the engine holds stays as known from them.
auto applyReport(EngineOrders&, Upstream&, const EngineReport&, MonotonicTime requestedAt) -> bool;

// Applies an order for an adapter that was answered with `Accepted` or `AlreadyDone`, after
// `applyOrderAnswer`. Returns the change, to be reported to the other nodes.
auto applyCompletedOrder(EngineOrders&, Upstream&, const AdapterOrder&, OrderAnswer, MonotonicTime now)
    -> OrderedAdapter;

} // namespace marigoldladder::relay
