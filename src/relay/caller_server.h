// Accepts callers' connections.
#pragma once

#include "core/connection_room.h"
#include "relay/listener.h"
#include "relay/node_capacity.h"
#include "relay/request_runner.h"

#include <boost/asio/ip/tcp.hpp>

namespace marigoldladder::relay {

class CallerServer {
public:
    CallerServer(Executor, const NodeCapacity&, RelayBoard&, RequestRunner&, WaitList&);
    CallerServer(const CallerServer&) = delete;
    auto operator=(const CallerServer&) -> CallerServer& = delete;

    // Listens at the address; false when that fails, which is logged.
    auto listen(const Address&) -> bool;
    // Refuses connections from now on, and resets those that nobody has accepted.
    auto stopListening() -> void { closeListener(m_acceptor); }

    // Closes connections on which no request runs.
    auto closeIdle() -> void { m_room.closeIdle(); }
    auto connections() const -> std::size_t { return m_room.connections(); }

private:
    Executor m_executor;
    RelayBoard& m_board;
    RequestRunner& m_runner;
    WaitList& m_waitList;
    ConnectionRoom m_room;
    net::ip::tcp::acceptor m_acceptor;
};

} // namespace marigoldladder::relay
