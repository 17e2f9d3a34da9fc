// Opens the port of an HTTP server with a queue for many callers that connect at once.
#pragma once

#include "marigoldladder/settings.h"

#include <httplib.h>
#include <optional>

namespace marigoldladder {

// Binds the server to the address and returns its port, which the system chooses where the address has 0.
// Nothing when the port can't be had. Call `listen_after_bind` on the server next.
auto openHttpPort(httplib::Server&, const Address&) -> std::optional<int>;

} // namespace marigoldladder
