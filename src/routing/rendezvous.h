// Rendezvous hashing: ranks candidates for a key so that losing one moves only that one's keys.
#pragma once

#include <cstdint>
#include <string_view>

namespace marigoldladder {

// Returns the candidate's weight for the key; the highest ranks first.
auto rendezvousWeight(std::string_view key, std::string_view candidate) -> std::uint64_t;

} // namespace marigoldladder
