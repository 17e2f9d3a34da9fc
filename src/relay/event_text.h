// Splits the text of a stream into events (server-sent events).
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace marigoldladder::relay {

// Returns the length in bytes of the complete events at the beginning of the text. No event ends within its
// first `searched` bytes, so they aren't searched again.
auto wholeEventsLength(std::string_view text, std::size_t searched = 0) -> std::size_t;

// Returns the last id in a text of complete events; empty if no event has an id.
auto lastEventId(std::string_view events) -> std::string;

} // namespace marigoldladder::relay
