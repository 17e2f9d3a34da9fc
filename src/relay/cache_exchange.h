// Fetches changes of the store's objects from peers, and serves them to peers, over TCP.
//
// A message is a four-byte little-endian length followed by a FlatBuffers table.
#pragma once

#include "core/metrics.h"
#include "relay/object_cache.h"
#include "relay/tcp.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace marigoldladder::relay::messages {
struct ChangedObjectT;
} // namespace marigoldladder::relay::messages

namespace marigoldladder::relay {

class CacheExchange {
public:
    CacheExchange(Executor, ObjectCache&);

    // Serves peers at the address. Returns false if the port can't be opened, which is logged.
    auto listen(const Address&, Metrics&) -> bool;

    // Returns the changes after a revision that a peer has; nothing if it doesn't answer in time.
    auto fetch(Address peer, ObjectKind, StoreRevision after) -> Awaitable<std::optional<CacheChanges>>;

private:
    // An object's content as it travels.
    struct CompressedContent {
        StoreRevision m_revision;
        std::size_t m_length = 0; // Of the text.
        std::string m_bytes; // Empty: it can't be compressed.
    };

    auto serve(net::ip::tcp::socket) -> Awaitable<void>;
    auto setContent(messages::ChangedObjectT&, ObjectKind, const StoredObject&) -> void;

    Executor m_executor;
    ObjectCache& m_cache;
    net::ip::tcp::acceptor m_acceptor;
    std::map<std::string, CompressedContent> m_compressed; // Of configurations, by name.
};

} // namespace marigoldladder::relay
