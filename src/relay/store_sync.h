// Keeps the blackboard up to date with the store: a few nodes watch it, the others fetch changes from peers.
#pragma once

#include "relay/blackboard_updates.h"
#include "relay/cache_exchange.h"
#include "relay/object_schema.h"
#include "relay/paged_listing.h"
#include "relay/relay_settings.h"

#include <map>
#include <random>
#include <string>

namespace marigoldladder::relay {

class StoreSync {
public:
    StoreSync(
        Executor, const RelaySettings&, RelayBoard&, const ObjectStore&, const ObjectSchema&, CacheExchange&);

    // Starts to follow the store and the peers.
    auto start() -> void;

    // Returns whether the objects of every kind have been received.
    auto hasAllKinds() const -> bool;

private:
    auto follow(ObjectKind) -> Awaitable<void>;
    // Watches until a watch fails or the kind is to be listed again (returns true), or only other nodes
    // should watch (returns false).
    auto watchWhileAssigned(ObjectKind) -> Awaitable<bool>;
    auto followPeers(ObjectKind) -> Awaitable<void>;
    auto mustWatchStore(ObjectKind) const -> bool;
    auto isKnownSmallFleet() const -> bool;
    auto isRetryPaused(ObjectKind) const -> bool;
    auto requiredListingAge(ObjectKind) const -> ListingAge;
    auto fetchFrom(const Peer&, ObjectKind, StoreRevision after) -> Awaitable<void>;
    auto fetchNewerConfiguration() -> Awaitable<void>;
    auto peerWithNews(ObjectKind) -> const Peer*;
    // Where changes come from.
    enum class ChangeOrigin {
        Start, // The first state that this node received.
        Store, // Written to the store since the state known before.
        OlderCopy, // The first state of a new era, which may be older than what is known.
    };

    auto mergeStoreListing(ObjectKind, const ObjectListing&) -> void;
    auto mergeUpdate(ObjectKind, const CacheChanges&) -> void;
    auto applyChanges(ObjectKind, StoreRevision before, const std::vector<ObjectChange>&) -> void;
    auto recordEra(ObjectKind, StoreRevision before) -> void;
    auto recordUnreadable(ObjectKind, const StoredObject&) -> void;
    auto applyObject(ObjectKind, const StoredObject&, ChangeOrigin) -> void;
    auto applyConfigurationObject(const StoredObject&) -> void;
    auto announceAdapterVersion(const ListedAdapter&, ChangeOrigin) -> void;
    auto applyUpstream(const StoredObject&, ChangeOrigin) -> void;
    auto applyCopiedUpstream(const UpstreamRecord&) -> void;
    auto applyEntryAfter(Milliseconds, const UpstreamName&) -> void;
    auto recoveryTimeLeft() const -> Milliseconds;
    auto endEvacuationAfterRecovery(const std::string& name) -> void;
    auto applyRemoval(ObjectKind, const std::string& name, ChangeOrigin) -> void;
    auto removeUpstreamAfterRecovery(const std::string& name) -> void;
    auto endEvacuation(const std::string& name) -> void;
    auto contains(ObjectKind, const std::string& name) -> bool;
    auto isListingDue(ObjectKind) const -> bool;
    auto watchTimeoutOf(ObjectKind) const -> Milliseconds;
    auto recordReachability(bool) -> void;
    auto markStoreUnreachable() -> void;
    auto beginProbeIfDue(ObjectKind) -> bool;
    auto backoff() -> Milliseconds;

    Executor m_executor;
    const RelaySettings& m_settings;
    RelayBoard& m_board;
    const ObjectStore& m_store;
    ObjectSchema m_schema;
    std::map<ObjectKind, KindRules> m_rules;
    CacheExchange& m_exchange;
    MonotonicTime m_startedAt {};
    MonotonicTime m_nextProbeAt {}; // Earliest probe while other nodes should watch.
    MonotonicTime m_nextVersionFetchAt {}; // Earliest fetch of a newer configuration at no later revision.
    std::map<ObjectKind, MonotonicTime>
        m_historyLostAt; // When the latest watch began whose history was lost.
    // When a kind is listed again whose last listing ended before its end.
    std::map<ObjectKind, MonotonicTime> m_nextListingAt;
    IncompleteListingLog m_incompleteListings;
    bool m_wasUnreachable = false;
    std::mt19937 m_random;
};

} // namespace marigoldladder::relay
