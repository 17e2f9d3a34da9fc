// Unguessable random bytes for ids, salts and challenges.
#pragma once

#include <cstddef>
#include <string>

namespace marigoldladder {

// Returns `bytes` random bytes as twice as many hexadecimal digits.
auto randomHex(std::size_t bytes) -> std::string;

} // namespace marigoldladder
