// What the connections of a port take of the node, and which of them yields when it is spent.
//
// A request that hasn't arrived whole was passed on to nobody, so a node that ends it can promise that it
// didn't run. The one that has been arriving for longest goes first: what callers send within the limits
// arrives soon, and what stops short of its end stays.
#pragma once

#include "core/memory_budget.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <set>

namespace marigoldladder {

// What a connection may hold of a request and its answer without a share of the memory that all connections
// have together, in bytes. A small request finds room however much the others hold.
inline constexpr auto freeBytesOfConnection = std::size_t { 16 } << 10;

// Returns what of so many bytes needs a share of the common memory.
constexpr auto beyondFree(std::size_t bytes) -> std::size_t
{
    return bytes > freeBytesOfConnection ? bytes - freeBytesOfConnection : 0;
}

struct ConnectionBounds {
    std::size_t m_connections = 0; // At once.
    std::size_t m_heldBytes = 0; // Of requests and answers, beyond what is free for each connection.
};

enum class ConnectionPhase {
    Idle, // Between two requests, or before the first.
    Reading, // A request arrives.
    Running, // The request was read and is being served.
    Answering, // The caller is to take a part of the answer.
    Closing, // The last answer was sent.
};

// A connection, as far as what it takes is concerned.
struct ConnectionPlace {
    explicit ConnectionPlace(MemoryBudget& budget)
        : m_memory(budget)
    {
    }

    ConnectionPhase m_phase = ConnectionPhase::Idle;
    std::chrono::steady_clock::time_point m_since {}; // When the phase began.
    bool m_hasServed = false; // A request came whole.
    MemoryShare m_memory; // Of what all connections have together.
    // Ends the request that is being read, whose caller gets a refusal, or the answer that isn't taken.
    std::function<void()> m_giveUp;
    std::function<void()> m_closeIfIdle; // Closes the connection if no request has begun to arrive.
    std::function<void()> m_close; // Closes the connection at once.
};

auto enterPhase(ConnectionPlace&, ConnectionPhase) -> void;

// The places of all connections.
class ConnectionRoom {
public:
    explicit ConnectionRoom(const ConnectionBounds&);

    auto budget() -> MemoryBudget& { return m_budget; }
    auto add(ConnectionPlace& place) -> void { m_places.insert(&place); }
    auto remove(ConnectionPlace& place) -> void { m_places.erase(&place); }
    auto connections() const -> std::size_t { return m_places.size(); }

    auto hasRoomForConnection() const -> bool { return m_places.size() < m_maxConnections; }

    // Returns whether one more connection may come. At the bound, the one that is needed least is closed for
    // it; none is while all have requests that run.
    auto makeRoomForConnection() -> bool;

    // Closes the connection that is needed least. Returns false if all have requests that run.
    auto closeOne() -> bool;

    // Closes connections on which no request runs.
    auto closeIdle() -> void;

    // Has a connection hold so many bytes in all. Requests that have been arriving, and answers that have
    // been waiting for their callers, for longer yield to it. Returns false if too little can be had.
    auto reserve(ConnectionPlace&, std::size_t bytes) -> bool;

private:
    // Returns the place that yields its memory first; null if none can.
    auto nextToYield() const -> ConnectionPlace*;

    auto nextToClose() const -> ConnectionPlace*;

    MemoryBudget m_budget;
    std::size_t m_maxConnections;
    std::set<ConnectionPlace*> m_places;
};

} // namespace marigoldladder
