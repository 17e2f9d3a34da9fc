// Updates the blackboard's configuration and upstreams with entries of the store and results of engine calls.
#pragma once

#include "relay/engine_calls.h"
#include "relay/relay_board.h"

namespace marigoldladder::relay {

// Puts a configuration in force. Returns false if its version isn't newer than the one in force, which then
// stays.
auto applyConfiguration(RelayBoard&, RoutingConfiguration) -> bool;

// Applies an upstream's entry in the store. If the entry of the same run was removed lately, what is known of
// that run still holds.
auto applyUpstreamRecord(UpstreamTable&, const UpstreamRecord&, MonotonicTime now) -> void;

// What is known of the run of an upstream that an entry names.
enum class RunKnowledge {
    Unknown,
    Listed, // It has an entry.
    Removed, // Its entry was removed lately.
};

auto knowledgeOf(const UpstreamTable&, const UpstreamRecord&) -> RunKnowledge;

// Applies an entry of a known run from a listing that may be older than what is known: only that the run
// leaves or is cold, which are safe to believe.
auto applyCopiedRecord(Upstream&, const UpstreamRecord&, MonotonicTime now) -> void;

// Removes an upstream that left, or whose entry can't be decoded.
auto removeUpstream(UpstreamTable&, const UpstreamName&, MonotonicTime now) -> void;

// Records that nobody listens at the upstream's address, so that its run has ended.
auto recordNobodyListens(Upstream&, MonotonicTime now) -> void;

// Records that the upstream accepts connections. If nobody listened there before, this may be a new run,
// which counts as cold for its pool's time; its own entry or answers may tell more. Returns whether that is
// so.
auto recordAccepted(Upstream&, const Pool*, MonotonicTime now) -> bool;

// Whether a report contains the effects of all orders known to be accepted.
enum class ReportedState {
    Exact, // It does: the engine counts its orders. The report replaces all that was known.
    Approximate, // Unknown: orders and refusals recorded shortly before override the report.
};

// Applies the report that an engine sent in answer to a call at `requestedAt`; it is newer than the engine's
// entry in the store. An adapter that the engine unloads once its requests have ended stays evicted while the
// engine lists it.
auto applyEngineReport(Upstream&, const EngineReport&, MonotonicTime requestedAt, ReportedState) -> void;

// Records that an engine accepted the order to load an adapter. Overrides the engine's listings for a while.
auto recordLoadOrder(Upstream&, const ListedAdapter&, MonotonicTime readyAt, MonotonicTime now) -> void;

// Records that an engine refused a request because it lacks an adapter that it should have. Returns whether
// the adapter is now marked as missing; it isn't at once, as a load may take longer than expected.
auto recordAdapterRefusal(Upstream&, const std::string& adapter, MonotonicTime now) -> bool;

// Whether a load of the adapter from the weight store should have ended just now, so that a request sent now
// tests whether it has.
auto isAtExpectedLoadEnd(const Upstream&, const std::string& adapter, MonotonicTime now) -> bool;

// Returns the consecutive requests that the upstream refused because it lacked the adapter.
auto adapterRefusals(const Upstream&, const std::string& adapter) -> int;

// Excludes the adapter from routing until the engine lists it again. It keeps its adapter slot in the plan,
// as the refusals may have another cause.
auto markMissing(AdapterPresence&, MonotonicTime now) -> void;

// Records that an engine accepted the order to evict an adapter. `occupies`: the adapter keeps its slot until
// its requests have ended.
auto recordEvictionOrder(Upstream&, const std::string& adapter, bool occupies, MonotonicTime now) -> void;

} // namespace marigoldladder::relay
