// Compresses texts that travel between nodes.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace marigoldladder {

// Returns the text in zlib's format; empty if it can't be compressed for want of memory.
auto compress(std::string_view text) -> std::string;

// Returns the text of this length in bytes; nothing if the bytes aren't those of such a text.
auto decompress(std::string_view bytes, std::size_t length) -> std::optional<std::string>;

} // namespace marigoldladder
