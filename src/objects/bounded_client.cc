#include "objects/bounded_client.h"

#include <utility>

namespace marigoldladder {

// Passes reads and writes on within the bounds of one exchange.
class BoundedClient::BoundedStream : public httplib::Stream {
public:
    BoundedStream(httplib::Stream& stream, std::chrono::milliseconds total, std::size_t& bytesLeft)
        : m_stream(stream)
        , m_until(std::chrono::steady_clock::now() + total)
        , m_bytesLeft(bytesLeft)
    {
    }

    auto is_readable() const -> bool override { return m_stream.is_readable(); }
    auto is_writable() const -> bool override { return m_stream.is_writable(); }

    auto read(char* data, std::size_t size) -> ssize_t override
    {
        if (isOver() || m_bytesLeft == 0)
            return -1;
        const auto length = m_stream.read(data, std::min(size, m_bytesLeft));
        if (length > 0)
            m_bytesLeft -= static_cast<std::size_t>(length);
        return length;
    }

    auto write(const char* data, std::size_t size) -> ssize_t override
    {
        return isOver() ? -1 : m_stream.write(data, size);
    }

    auto get_remote_ip_and_port(std::string& host, int& port) const -> void override
    {
        m_stream.get_remote_ip_and_port(host, port);
    }

    auto get_local_ip_and_port(std::string& host, int& port) const -> void override
    {
        m_stream.get_local_ip_and_port(host, port);
    }

    auto socket() const -> socket_t override { return m_stream.socket(); }

private:
    auto isOver() const -> bool { return std::chrono::steady_clock::now() >= m_until; }

    httplib::Stream& m_stream;
    std::chrono::steady_clock::time_point m_until;
    std::size_t& m_bytesLeft;
};

BoundedClient::BoundedClient(const Address& server, const AnswerBounds& bounds)
    : ClientImpl(server.m_host, server.m_port)
    , m_bounds(bounds)
{
    set_tcp_nodelay(true);
    set_decompress(false); // Else a few bytes could grow to any number.
    set_connection_timeout(bounds.m_connect);
    set_read_timeout(bounds.m_silence);
    set_write_timeout(bounds.m_silence);
}

auto BoundedClient::allowBytes(std::size_t bytes) -> void
{
    m_bytesLeft = bytes;
}

auto BoundedClient::process_socket(const Socket& socket, std::function<bool(httplib::Stream&)> callback)
    -> bool
{
    m_bytesLeft = m_bounds.m_bytes;
    const auto exchange = [&](httplib::Stream& stream) {
        auto bounded = BoundedStream(stream, m_bounds.m_total, m_bytesLeft);
        return callback(bounded);
    };
    return httplib::detail::process_client_socket(socket.sock, read_timeout_sec_, read_timeout_usec_,
        write_timeout_sec_, write_timeout_usec_, exchange);
}

} // namespace marigoldladder
