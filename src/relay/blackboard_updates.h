// Enters what the store says of the configuration and the upstreams into the blackboard.
#pragma once

#include "relay/engine_calls.h"
#include "relay/relay_board.h"

namespace marigoldladder::relay {

// Puts a configuration in force unless it is older than the one known; false when it is.
auto applyConfiguration(RelayBoard&, RoutingConfiguration) -> bool;

// Enters what an upstream says of itself.
auto applyUpstreamRecord(UpstreamTable&, const UpstreamRecord&, MonotonicTime now) -> void;

// Removes an upstream that left, or whose entry can't be read.
auto removeUpstream(UpstreamTable&, const UpstreamName&) -> void;

// Enters what an engine reported when it was asked: newer than its entry in the store.
auto applyEngineReport(Upstream&, const EngineReport&, MonotonicTime askedAt) -> void;

// Enters the announcement of an adapter's version.
auto applyAdapterVersion(UpstreamTable&, const ListedAdapter&, MonotonicTime now) -> void;

// Tells that an engine accepted the order to load an adapter; goes before what the engine lists for a while.
auto recordLoadOrder(Upstream&, const ListedAdapter&, MonotonicTime readyAt, MonotonicTime now) -> void;

// Enters that an engine refused a request for want of an adapter that it should have. Returns whether the
// adapter counts as missing from now on: a load may take longer than expected.
auto recordAdapterRefusal(Upstream&, const std::string& adapter, MonotonicTime now) -> bool;

// Lets no request go to the adapter before the engine lists it again. It keeps its place in the plan: the
// refusals may have had another reason.
auto markMissing(AdapterPresence&, MonotonicTime now) -> void;

// Tells that an engine accepted the order to drop an adapter. `occupies`: it keeps its place until its
// requests have ended.
auto recordEvictionOrder(Upstream&, const std::string& adapter, bool occupies, MonotonicTime now) -> void;

} // namespace marigoldladder::relay
