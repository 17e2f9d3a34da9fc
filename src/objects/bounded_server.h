// An HTTP server of the library that bounds what its clients take: connections, bytes, and the memory of
// requests that arrive. Its handlers can tell that their caller hung up before anything is written to it.
#pragma once

#include "objects/request_framing.h"

#include <cstddef>
#include <httplib.h>
#include <memory>

namespace marigoldladder {

struct ServerBounds {
    // Served at once, a thread each. For one more, the one that is needed least is closed: one that hasn't
    // brought a request, or the one that has been idle for longest.
    std::size_t m_connections = 16;
    RequestBounds m_request;
    // Of all requests that arrive or are served, beyond what is free for each connection. The request that
    // has been arriving for longest is ended when it is spent.
    std::size_t m_heldBytes = std::size_t { 64 } << 20;
};

// Whether the caller of the request that this thread serves has closed its connection.
auto callerHungUp() -> bool;

class BoundedServer : public httplib::Server {
public:
    explicit BoundedServer(const ServerBounds&);
    ~BoundedServer() override;
    BoundedServer(const BoundedServer&) = delete;
    auto operator=(const BoundedServer&) -> BoundedServer& = delete;

private:
    struct Room;
    class Queue;
    class GuardedConnection;
    class ServerStream;

    auto process_and_close_socket(socket_t) -> bool override;
    auto serve(socket_t, GuardedConnection&) -> bool;

    std::unique_ptr<Room> m_room;
};

} // namespace marigoldladder
