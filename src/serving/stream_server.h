// An HTTP server whose handlers can tell that their caller hung up before anything is written to it.
#pragma once

#include <httplib.h>

namespace marigoldladder {

// Whether the caller of the request that this thread serves has closed its connection.
auto callerHungUp() -> bool;

// Serves plain HTTP as its base does, and lets `callerHungUp` see the connection.
class StreamServer : public httplib::Server {
private:
    auto process_and_close_socket(socket_t) -> bool override;
};

} // namespace marigoldladder
