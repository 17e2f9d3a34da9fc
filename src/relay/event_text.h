// Finds the events in the text of a stream (server-sent events).
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace marigoldladder::relay {

// Returns the length of the whole events at the beginning of the text.
auto wholeEventsLength(std::string_view text) -> std::size_t;

// Returns the id of the last event in a text of whole events; empty when none has one.
auto lastEventId(std::string_view events) -> std::string;

} // namespace marigoldladder::relay
