// The HTTP interface for callers.
#pragma once

#include "fleet/peer_links.h"
#include "limits/allowance.h"
#include "platform/platform_client.h"
#include "serving/request_runner.h"

#include <memory>

namespace marigoldladder {

// Serves callers from construction until `stop`, one thread for each open connection.
class CallerServer {
public:
    CallerServer(const NodeSettings&, Blackboard&, Allowance&, RequestRunner&, PlatformClient&);
    CallerServer(const CallerServer&) = delete;
    auto operator=(const CallerServer&) -> CallerServer& = delete;
    ~CallerServer();

    // The port in use, also where the settings left it to the system.
    auto port() const -> int;

    // Requests whose answers are not written to their end.
    auto openRequests() const -> std::size_t;

    // Takes no new connections; those there are get their answers and are closed after the next one.
    auto closeListener() -> void;

    // Closes the listener and waits for the requests being served.
    auto stop() -> void;

private:
    struct Implementation;

    std::unique_ptr<Implementation> m_implementation;
};

} // namespace marigoldladder
