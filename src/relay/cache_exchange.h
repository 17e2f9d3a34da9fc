// Fetches changes of the store's objects from peers, and serves them to peers, over TCP.
//
// A message is a four-byte little-endian length followed by a FlatBuffers table.
#pragma once

#include "relay/object_cache.h"
#include "relay/tcp.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace marigoldladder::relay {

class CacheExchange {
public:
    CacheExchange(Executor, ObjectCache&);

    // Serves peers at the address. Returns false if the port can't be opened, which is logged.
    auto listen(const Address&) -> bool;

    // Returns the changes after a revision that a peer has; nothing if it doesn't answer in time.
    auto fetch(Address peer, ObjectKind, StoreRevision after) -> Awaitable<std::optional<CacheChanges>>;

private:
    auto serve(net::ip::tcp::socket) -> Awaitable<void>;

    Executor m_executor;
    ObjectCache& m_cache;
    net::ip::tcp::acceptor m_acceptor;
};

} // namespace marigoldladder::relay
