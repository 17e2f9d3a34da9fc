// A client that sends bytes without end, as fast as they are taken.
#pragma once

#include "relay/tcp.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

namespace marigoldladder::relay {

// Sends `first` and then `repeated` again and again on a thread of its own, until the connection is closed.
// It reads nothing.
class EndlessSender {
public:
    EndlessSender(const Address& address, std::string first, std::string repeated)
        : m_socket(m_context)
    {
        m_socket.connect(*endpointOf(address));
        m_thread = std::thread([this, first = std::move(first), repeated = std::move(repeated)] {
            auto error = ErrorCode();
            net::write(m_socket, net::buffer(first), error);
            while (!error && !m_stops)
                net::write(m_socket, net::buffer(repeated), error);
            m_ended = true;
        });
    }
    ~EndlessSender()
    {
        m_stops = true;
        auto ignored = ErrorCode();
        m_socket.shutdown(net::ip::tcp::socket::shutdown_both, ignored);
        m_thread.join();
    }
    EndlessSender(const EndlessSender&) = delete;
    auto operator=(const EndlessSender&) -> EndlessSender& = delete;

    // Whether the other end closed the connection.
    auto ended() const -> bool { return m_ended; }

private:
    net::io_context m_context { 1 };
    net::ip::tcp::socket m_socket;
    std::atomic<bool> m_stops { false };
    std::atomic<bool> m_ended { false };
    std::thread m_thread;
};

} // namespace marigoldladder::relay
