// A minimal HTTP server for GET requests that are answered from memory: readiness, addresses, metrics.
#pragma once

#include "core/metrics.h"
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
    SimpleHttpServer(const Executor&, SimpleHttpHandler);

    // Listens at the address; false when that fails, which is logged.
    auto listen(const Address&, Metrics&) -> bool;

private:
    auto serve(net::ip::tcp::socket) -> Awaitable<void>;

    SimpleHttpHandler m_handler;
    net::ip::tcp::acceptor m_acceptor;
};

// Returns a parameter of the target's query without percent-decoding; empty if it is missing.
auto queryParameter(std::string_view target, std::string_view name) -> std::string;

} // namespace marigoldladder::relay
