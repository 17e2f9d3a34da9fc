// A minimal HTTP server for GET requests that are answered from memory: readiness, addresses, metrics.
#pragma once

#include "core/memory_budget.h"
#include "core/metrics.h"
#include "relay/listener.h"
#include "relay/node_capacity.h"
#include "relay/open_connections.h"
#include "relay/tcp.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

namespace marigoldladder::relay {

struct SimpleHttpAnswer {
    unsigned m_status = 404;
    std::string m_contentType = "text/plain";
    std::string m_body;
};

// Called with the request's target (path and query).
using SimpleHttpHandler = std::function<SimpleHttpAnswer(const std::string& target)>;

class SimpleHttpServer {
public:
    SimpleHttpServer(const Executor&, const NodeCapacity&, Metrics&, SimpleHttpHandler);

    // Listens at the address; false when that fails, which is logged.
    auto listen(const Address&) -> bool;
    // Refuses connections from now on, and resets those that nobody has accepted.
    auto stopListening() -> void { closeListener(m_acceptor); }

private:
    auto serve(net::ip::tcp::socket) -> Awaitable<void>;

    Metrics& m_metrics;
    SimpleHttpHandler m_handler;
    MemoryBudget m_budget; // Of heads that arrive.
    OpenConnections m_connections;
    net::ip::tcp::acceptor m_acceptor;
};

// Returns a parameter of the target's query without percent-decoding; empty if it is missing.
auto queryParameter(std::string_view target, std::string_view name) -> std::string;

} // namespace marigoldladder::relay
