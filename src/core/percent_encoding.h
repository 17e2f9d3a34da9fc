// Writes any text into a part of a URI.
#pragma once

#include <string>
#include <string_view>

namespace marigoldladder {

// Returns the bytes of a text such that they stand for just themselves in a path segment or in the value of a
// query parameter, also where the reader decodes a query as a form: every byte but the unreserved characters
// of RFC 3986 is percent-encoded.
auto percentEncoded(std::string_view bytes) -> std::string;

} // namespace marigoldladder
