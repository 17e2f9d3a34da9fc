// What the stand-ins share: an HTTP server on a port that may be chosen by the system.
#pragma once

#include "marigoldladder/settings.h"

#include <cstdint>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace marigoldladder::fakes {

// Makes the server ready for many open connections.
auto configureFakeServer(httplib::Server&) -> void;

// Listens on the address, prints `{"event":"ready","address":…}` as one line, and serves until killed.
// Returns 1 when it can't listen.
auto serveUntilKilled(httplib::Server&, const Address&) -> int;

// Writes JSON as the whole answer.
auto answerJson(httplib::Response&, const nlohmann::json&, int status = 200) -> void;

// Returns the time of day in milliseconds since 1970, for records that are compared between processes.
auto wallClockMilliseconds() -> std::int64_t;

// Reads the request's body as a JSON object; an empty object when it is none.
auto bodyOf(const httplib::Request&) -> nlohmann::json;

} // namespace marigoldladder::fakes
