// The HTTP interface for callers.
#pragma once

#include "fleet/peer_links.h"
#include "limits/allowance.h"
#include "serving/keyed_service.h"
#include "serving/request_runner.h"

#include <memory>

namespace marigoldladder {

// Serves callers from construction until `stop`, one thread for each open connection.
class CallerServer {
public:
    CallerServer(const NodeSettings&, Blackboard&, Allowance&, RequestRunner&, KeyedService&);
    CallerServer(const CallerServer&) = delete;
    auto operator=(const CallerServer&) -> CallerServer& = delete;
    ~CallerServer();

    // The port in use, also where the settings left it to the system.
    auto port() const -> int;

    // Requests whose answers are not written to their end.
    auto openRequests() const -> std::size_t;

    // Closes the listener and waits for the requests being served.
    auto stop() -> void;

private:
    struct Implementation;

    std::unique_ptr<Implementation> m_implementation;
};

} // namespace marigoldladder
