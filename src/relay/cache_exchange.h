// Asks peers for changes of the store's objects, and answers them, over TCP.
//
// A message is its length in four bytes, lowest first, and a FlatBuffers table.
#pragma once

#include "relay/object_cache.h"
#include "relay/tcp.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace marigoldladder::relay {

class CacheExchange {
public:
    CacheExchange(Executor, ObjectCache&);

    // Answers peers at the address; false when the port can't be had, which is logged.
    auto listen(const Address&) -> bool;

    // Returns what a peer knows later than `revision`; nothing when it can't be reached in time.
    auto fetch(Address peer, ObjectKind, std::uint64_t revision) -> Awaitable<std::optional<CacheChanges>>;

private:
    auto serve(net::ip::tcp::socket) -> Awaitable<void>;

    Executor m_executor;
    ObjectCache& m_cache;
    net::ip::tcp::acceptor m_acceptor;
};

} // namespace marigoldladder::relay
