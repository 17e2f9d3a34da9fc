// Keeps the blackboard up to date with the store: a few nodes watch it, the others fetch changes from peers.
#pragma once

#include "relay/blackboard_updates.h"
#include "relay/cache_exchange.h"
#include "relay/relay_settings.h"

#include <functional>
#include <random>
#include <string>

namespace marigoldladder::relay {

// The names of the store's kinds of objects, and the functions that decode an object's content.
//
// A function returns nothing if the content can't be decoded.
struct ObjectSchema {
    std::string m_configurationKind;
    std::string m_upstreamKind;
    std::string m_evacuationKind; // One object for each data centre that gets no new work.
    std::string m_versionKind; // Announced versions of adapters.
    std::function<std::optional<RoutingConfiguration>(const nlohmann::json&)> m_readConfiguration;
    std::function<std::optional<UpstreamRecord>(const std::string& name, const nlohmann::json&)>
        m_readUpstream;
    std::function<std::optional<ListedAdapter>(const nlohmann::json&)> m_readVersion;
};

class StoreSync {
public:
    StoreSync(Executor, const RelaySettings&, RelayBoard&, const ObjectStore&, const ObjectSchema&);

    // Starts to follow the store and the peers. Returns false if the port for peers can't be opened, which is
    // logged.
    auto start() -> bool;

    // Returns whether the objects of every kind have been received.
    auto hasAllKinds() const -> bool;

private:
    auto kindName(ObjectKind) const -> const std::string&;
    auto follow(ObjectKind) -> Awaitable<void>;
    // Watches until a watch fails (returns true) or only other nodes should watch (returns false).
    auto watchWhileAssigned(ObjectKind) -> Awaitable<bool>;
    auto followPeers(ObjectKind) -> Awaitable<void>;
    auto mustWatchStore(ObjectKind) const -> bool;
    auto isKnownSmallFleet() const -> bool;
    auto isRetryPaused(ObjectKind) const -> bool;
    auto requiredListingAge(ObjectKind) const -> ListingAge;
    auto applyChanges(ObjectKind, const std::vector<ObjectChange>&) -> void;
    auto applyObject(ObjectKind, const StoredObject&) -> void;
    auto applyRemoval(ObjectKind, const std::string& name) -> void;
    auto removeUpstreamAfterRecovery(const std::string& name) -> void;
    auto recordReachability(bool) -> void;
    auto recordEra(ObjectKind, const ObjectListing&) -> void;
    auto markStoreUnreachable() -> void;
    auto beginProbeIfDue(ObjectKind) -> bool;
    auto backoff() -> Milliseconds;

    Executor m_executor;
    const RelaySettings& m_settings;
    RelayBoard& m_board;
    const ObjectStore& m_store;
    const ObjectSchema& m_schema;
    CacheExchange m_exchange;
    MonotonicTime m_startedAt {};
    MonotonicTime m_nextProbeAt {}; // Earliest probe while other nodes should watch.
    bool m_wasUnreachable = false;
    std::uint64_t m_era = 0; // Of the store, as of the latest listing.
    std::mt19937 m_random;
};

} // namespace marigoldladder::relay
