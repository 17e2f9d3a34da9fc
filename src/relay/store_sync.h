// Keeps the blackboard in step with the store: a few nodes watch it, the others follow their peers.
#pragma once

#include "relay/blackboard_updates.h"
#include "relay/cache_exchange.h"
#include "relay/relay_settings.h"

#include <functional>
#include <random>
#include <string>

namespace marigoldladder::relay {

// What the store's objects are called and how they are read.
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

    // Starts to follow; false when the port for peers can't be had, which is logged.
    auto start() -> bool;

    // Whether all kinds are known.
    auto hasAllKinds() const -> bool;

private:
    auto kindName(ObjectKind) const -> const std::string&;
    auto follow(ObjectKind) -> Awaitable<void>;
    // Returns whether the watch failed, rather than that other nodes should watch.
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
    MonotonicTime m_nextProbeAt {}; // No look at the store before it, where other nodes should watch.
    bool m_wasUnreachable = false;
    std::mt19937 m_random;
};

} // namespace marigoldladder::relay
