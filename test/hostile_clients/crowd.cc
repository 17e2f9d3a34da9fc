#include "hostile_clients/crowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace marigoldladder::hostile {

namespace {

    constexpr auto closed = -1;
    constexpr auto pieceBytes = std::size_t { 64 } << 10; // About what one call sends.
    constexpr auto patience
        = std::chrono::milliseconds(700); // Until a server that takes nothing is left alone.

    // `type`: SOCK_STREAM or SOCK_DGRAM.
    auto connectTo(const Address& address, int type) -> int
    {
        const auto socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
        auto target = sockaddr_in();
        target.sin_family = AF_INET;
        target.sin_port = htons(static_cast<std::uint16_t>(address.m_port));
        (void)::inet_pton(AF_INET, address.m_host.c_str(), &target.sin_addr);
        if (::connect(socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0) {
            ::close(socket);
            return closed;
        }
        if (type == SOCK_STREAM)
            (void)::fcntl(socket, F_SETFL, O_NONBLOCK);
        return socket;
    }

    // How far one connection has come with its flood.
    struct Progress {
        std::size_t m_repetition = 0;
        std::size_t m_offset = 0; // In the beginning, or in the piece.
        bool m_begun = false; // The beginning is sent.

        auto rest(const Flood& flood) const -> std::string_view
        {
            const auto& bytes = m_begun ? flood.m_piece : flood.m_beginning;
            return std::string_view(bytes).substr(m_offset);
        }

        auto isDone(const Flood& flood) const -> bool
        {
            return m_begun && (m_repetition >= flood.m_repetitions || flood.m_piece.empty());
        }

        auto advance(const Flood& flood, std::size_t length) -> void
        {
            m_offset += length;
            if (!rest(flood).empty())
                return;
            m_offset = 0;
            m_repetition += m_begun ? 1 : 0;
            m_begun = true;
        }
    };

    // Sends what the server takes now. Returns false if it has closed the connection.
    auto sendSome(int socket, const Flood& flood, Progress& progress) -> bool
    {
        const auto bytes = progress.rest(flood);
        const auto sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0)
            return errno == EAGAIN || errno == EWOULDBLOCK;
        progress.advance(flood, static_cast<std::size_t>(sent));
        return true;
    }

} // namespace

auto floodOf(std::string beginning, const std::string& line, std::size_t length) -> Flood
{
    auto flood = Flood { std::move(beginning), {}, 0 };
    while (flood.m_piece.size() < pieceBytes)
        flood.m_piece += line;
    flood.m_repetitions = length / flood.m_piece.size();
    return flood;
}

auto floodOfChunks(std::string head, std::size_t chunkBytes, std::size_t length) -> Flood
{
    auto size = std::array<char, 20>();
    std::snprintf(size.data(), size.size(), "%zx\r\n", chunkBytes);
    const auto chunk = size.data() + std::string(chunkBytes, 'x') + "\r\n";
    auto flood = Flood { std::move(head), {}, 0 };
    auto chunks = std::size_t { 0 };
    do {
        flood.m_piece += chunk;
        ++chunks;
    } while (flood.m_piece.size() < pieceBytes && (chunks + 1) * chunkBytes <= length);
    flood.m_repetitions = length / (chunks * chunkBytes);
    return flood;
}

Crowd::Crowd(const Address& address, std::size_t connections)
{
    for (auto number = std::size_t { 0 }; number < connections; ++number)
        m_sockets.push_back(connectTo(address, SOCK_STREAM));
}

Crowd::~Crowd()
{
    for (const auto socket : m_sockets) {
        if (socket != closed)
            ::close(socket);
    }
}

auto Crowd::send(const Flood& flood) -> void
{
    auto progress = std::vector<Progress>(m_sockets.size());
    for (;;) {
        auto entries = std::vector<pollfd>();
        auto indices = std::vector<std::size_t>();
        for (auto index = std::size_t { 0 }; index < m_sockets.size(); ++index) {
            if (m_sockets[index] == closed || progress[index].isDone(flood))
                continue;
            entries.push_back({ m_sockets[index], POLLOUT, 0 });
            indices.push_back(index);
        }
        const auto timeout = static_cast<int>(patience.count());
        if (entries.empty() || ::poll(entries.data(), entries.size(), timeout) <= 0)
            return;
        for (auto entry = std::size_t { 0 }; entry < entries.size(); ++entry) {
            const auto index = indices[entry];
            if (entries[entry].revents == 0 || sendSome(m_sockets[index], flood, progress[index]))
                continue;
            ::close(m_sockets[index]);
            m_sockets[index] = closed;
        }
    }
}

DatagramSocket::DatagramSocket(const Address& address)
    : m_socket(connectTo(address, SOCK_DGRAM))
{
}

DatagramSocket::~DatagramSocket()
{
    ::close(m_socket);
}

auto DatagramSocket::send(const std::string& datagram) const -> void
{
    constexpr auto pause = std::chrono::microseconds(100); // So that few are lost.
    (void)::send(m_socket, datagram.data(), datagram.size(), MSG_NOSIGNAL);
    std::this_thread::sleep_for(pause);
}

} // namespace marigoldladder::hostile
