// Fetches changes of the store's objects from peers, and serves them to peers, over TCP.
#pragma once

#include "core/memory_budget.h"
#include "relay/node_capacity.h"
#include "relay/object_cache.h"
#include "relay/tcp.h"

#include <map>
#include <memory>
#include <string>

namespace marigoldladder::relay::messages {
struct ChangedObjectT;
} // namespace marigoldladder::relay::messages

namespace marigoldladder::relay {

class CacheExchange {
public:
    CacheExchange(Executor, const NodeCapacity&, ObjectCache&);

    // Answers a peer's request for changes; passes over a message that is none.
    auto serve(std::shared_ptr<tcp_stream>, std::string message) -> Awaitable<void>;

    // Returns the changes after a revision that a peer has; nothing if it doesn't answer in time.
    auto fetch(Address peer, ObjectKind, StoreRevision after) -> Awaitable<std::optional<CacheChanges>>;

private:
    // An object's content as it travels.
    struct CompressedContent {
        StoreRevision m_revision;
        std::size_t m_length = 0; // Of the text.
        std::string m_bytes; // Empty: it can't be compressed.
    };

    auto setContent(messages::ChangedObjectT&, ObjectKind, const StoredObject&) -> void;

    Executor m_executor;
    ObjectCache& m_cache;
    MemoryBudget m_budget; // Of answers that are being sent.
    std::map<std::string, CompressedContent> m_compressed; // Of configurations, by name.
};

} // namespace marigoldladder::relay
