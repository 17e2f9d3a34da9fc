// Watches which software serves in which pool, and keeps what a node that starts later has to know of it in
// the store.
#pragma once

#include "relay/object_store.h"
#include "relay/relay_board.h"
#include "relay/relay_settings.h"
#include "relay/route_history.h"
#include "relay/software_history.h"
#include "relay/tcp.h"

#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace marigoldladder::relay {

class SoftwareWatch {
public:
    // Called with software that doesn't serve its routes alone any more, or not for certain.
    using NoLongerAlone = std::function<void(SoftwareId)>;

    SoftwareWatch(Executor, const RelaySettings&, RelayBoard&, const ObjectStore&);

    auto start(NoLongerAlone) -> void;

    // Returns the software that could have begun a stream which is taken up on a route to these pools, as far
    // as this node knows.
    auto candidatesFor(const RoutePools&) -> std::vector<SoftwareId>;

    // Whether no other software could have, for all that has happened before this node started or stood
    // still.
    auto knowsAll() const -> bool;

    // For how long this node has watched the upstreams without a gap.
    auto watchedFor() const -> Milliseconds;

    // Whether every stream that this software begins could have begun at no other, so that nobody has to be
    // told.
    auto isAlone(SoftwareId) const -> bool;

private:
    auto watch() -> Awaitable<void>;
    auto keepHistory() -> Awaitable<void>;
    // Begins the watch again if this node stood still or lost its view of the upstreams since the last call.
    auto updateWatch() -> void;
    auto updateAlone() -> void;
    // Whether the last call of `updateWatch` is too long ago, as after the node was frozen.
    auto stoodStill(MonotonicTime now) const -> bool;
    // By itself or through a peer.
    auto reachesStore(MonotonicTime now) const -> bool;
    auto isCutOff(MonotonicTime now) const -> bool;
    auto mustReadHistory() const -> bool;
    // Nodes that start together for the first time read only once one of them has written.
    auto isReadDue() const -> bool;
    auto readHistory() -> Awaitable<void>;
    auto applyRead(const StoreResult<StoredObject>&, MonotonicTime watchedSince) -> void;
    auto writeHistory() -> Awaitable<void>;
    // Whether this node writes the history, as far as it knows the other nodes.
    auto isWriter() const -> bool;
    auto storeEra() const -> std::uint64_t;
    // The software in use, and that which has gone within a stream's lifetime.
    auto seenSoftware() -> SoftwareByPool;

    Executor m_executor;
    const RelaySettings& m_settings;
    RelayBoard& m_board;
    const ObjectStore& m_store;
    NoLongerAlone m_noLongerAlone = [](SoftwareId) {};
    RouteHistory m_routes;
    std::set<SoftwareId> m_alone;
    std::optional<MonotonicTime> m_watchedSince; // Empty: the list of upstreams hasn't been read.
    MonotonicTime m_lastWatchAt {};
    MonotonicTime m_storeReachedAt {};
    SoftwareByPool m_inUse; // By the list of upstreams after so many changes:
    std::uint64_t m_changesSeen = 0;
    std::optional<SoftwareHistory> m_stored; // As read or written last; empty: the store has none.
    StoreRevision m_storedRevision; // Unknown: the store has none.
    SoftwareByPool m_everRead; // Also what later histories didn't have.
    MonotonicTime m_firstReadAt {}; // Zero: it hasn't been read.
    MonotonicTime m_readDuring {}; // The watch, by its beginning, during which it was read last; zero: none.
    MonotonicTime m_completeDuring {}; // The same for a complete one.
};

} // namespace marigoldladder::relay
