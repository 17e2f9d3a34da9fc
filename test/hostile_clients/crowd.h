// Clients that don't behave: connections that send what the test says, and stay open.
#pragma once

#include "marigoldladder/settings.h"

#include <cstddef>
#include <string>
#include <vector>

namespace marigoldladder::hostile {

// What one connection sends: the beginning, then the same piece again and again.
struct Flood {
    std::string m_beginning;
    std::string m_piece;
    std::size_t m_repetitions = 0;
};

// Returns the flood of about `length` bytes that repeats the line behind the beginning.
auto floodOf(std::string beginning, const std::string& line, std::size_t length) -> Flood;

// Returns the flood of a body in chunks of so many bytes, `length` bytes together, without the last chunk.
auto floodOfChunks(std::string head, std::size_t chunkBytes, std::size_t length) -> Flood;

// Connections to one address. All are closed with the object.
class Crowd {
public:
    Crowd(const Address&, std::size_t connections);
    ~Crowd();
    Crowd(const Crowd&) = delete;
    auto operator=(const Crowd&) -> Crowd& = delete;

    // Sends the flood on every connection at once, as far as the server takes it: until all is sent or each
    // connection that is left has taken nothing for a while.
    auto send(const Flood&) -> void;

private:
    std::vector<int> m_sockets; // -1: closed.
};

// Sends datagrams to one address, as fast as they are taken.
class DatagramSocket {
public:
    explicit DatagramSocket(const Address&);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket&) = delete;
    auto operator=(const DatagramSocket&) -> DatagramSocket& = delete;

    auto send(const std::string& datagram) const -> void;

private:
    int m_socket;
};

} // namespace marigoldladder::hostile
