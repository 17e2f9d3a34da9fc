// Digests of secrets, so that no secret itself is kept, and their comparison in constant time.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace marigoldladder {

// Returns `size` bytes as lower-case hexadecimal digits.
auto toHex(const unsigned char* bytes, std::size_t size) -> std::string;

// Returns SHA-256 over the salt followed by the secret, in hexadecimal.
auto saltedDigest(std::string_view salt, std::string_view secret) -> std::string;

// Returns HMAC-SHA-256 of the message under the secret, in hexadecimal.
auto messageProof(std::string_view secret, std::string_view message) -> std::string;

// Compares in a time that depends on the lengths only.
auto equalInConstantTime(std::string_view, std::string_view) -> bool;

} // namespace marigoldladder
