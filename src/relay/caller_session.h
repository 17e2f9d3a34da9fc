// One connection of a caller: its requests are read and answered one after the other.
#pragma once

#include "core/connection_room.h"
#include "relay/request_reader.h"
#include "relay/request_runner.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>

namespace marigoldladder::relay {

class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
    CallerSession(net::ip::tcp::socket, ConnectionRoom&, RelayBoard&, RequestRunner&, WaitList&);
    ~CallerSession();
    CallerSession(const CallerSession&) = delete;
    auto operator=(const CallerSession&) -> CallerSession& = delete;

    // Serves the connection until it ends.
    auto run() -> Awaitable<void>;

private:
    auto bounds() const -> CallerBounds;
    auto awaitRequest() -> Awaitable<bool>;
    auto closeIfIdle() -> void;
    auto giveUp() -> void;
    auto readRequest(CallState&) -> Awaitable<ErrorCode>;
    auto refuse(ErrorCode) -> Awaitable<void>;
    auto serveOne() -> Awaitable<bool>;
    auto answerRequest(CallState&, CallerAnswer&) -> Awaitable<void>;
    auto watchForDisconnect(const std::shared_ptr<CallState>&) -> void;
    auto stopWatching() -> void;
    auto lingeringClose() -> Awaitable<void>;

    tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    ConnectionRoom& m_room;
    RelayBoard& m_board;
    RequestRunner& m_runner;
    WaitList& m_waitList;
    ConnectionPlace m_place;
    Milliseconds m_idleTimeout { 0 };
    std::size_t m_requestBytes = 0; // That the request takes.
    bool m_isRefused = false; // The request being read had to yield its memory.
    bool m_asksForHead = false; // The request read last, as far as it was read.
};

} // namespace marigoldladder::relay
