// Keeps the blackboard in step with the store, by one watch for each kind of object.
#pragma once

#include "relay/catalogue.h"
#include "relay/object_store.h"
#include "relay/tcp.h"

#include <functional>
#include <set>
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
    StoreSync(Executor, RelayBoard&, const ObjectStore&, const ObjectSchema&);

    auto start() -> void;

    // Whether all kinds were read once.
    auto complete() const -> bool { return m_readKinds.size() == m_kinds.size(); }

private:
    // One kind of object that is followed.
    struct Kind {
        std::string m_name;
        Milliseconds m_pause; // Between two watches, so that changes close together cost one call.
        std::function<void(const StoredObject&)> m_enter;
        std::function<void(const std::string& name)> m_remove;
        std::set<std::string> m_present;
    };

    auto follow(Kind&) -> Awaitable<void>;
    auto watchUntilLost(Kind&, std::uint64_t revision) -> Awaitable<void>;
    auto enterListing(Kind&, const ObjectListing&) -> void;
    auto enterChange(Kind&, const ObjectChange&) -> void;
    auto noteReachable(bool) -> void;
    auto makeKinds() -> void;
    auto removeUpstreamLater(const std::string& name) -> void;

    Executor m_executor;
    RelayBoard& m_board;
    const ObjectStore& m_store;
    const ObjectSchema& m_schema;
    std::vector<Kind> m_kinds;
    std::set<std::string> m_readKinds;
    MonotonicTime m_backAt {}; // When the store last became reachable again.
    bool m_wasLost = false;
};

} // namespace marigoldladder::relay
