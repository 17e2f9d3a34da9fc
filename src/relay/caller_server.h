// Accepts callers' connections and reads their requests.
#pragma once

#include "relay/request_runner.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <set>

namespace marigoldladder::relay {

class CallerSession;

class CallerServer {
public:
    CallerServer(Executor, RelayBoard&, RequestRunner&, WaitList&);
    ~CallerServer();
    CallerServer(const CallerServer&) = delete;
    auto operator=(const CallerServer&) -> CallerServer& = delete;

    // Listens at the address; false when that fails, which is logged.
    auto listen(const Address&) -> bool;

    // Closes connections on which no request runs.
    auto closeIdle() -> void;
    auto connections() const -> std::size_t { return m_sessions.size(); }

    // Called by sessions only.
    auto add(CallerSession* session) -> void { m_sessions.insert(session); }
    auto remove(CallerSession* session) -> void { m_sessions.erase(session); }

private:
    Executor m_executor;
    RelayBoard& m_board;
    RequestRunner& m_runner;
    WaitList& m_waitList;
    net::ip::tcp::acceptor m_acceptor;
    std::set<CallerSession*> m_sessions;
};

} // namespace marigoldladder::relay
