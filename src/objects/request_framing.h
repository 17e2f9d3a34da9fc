// Follows the bytes of the requests on one connection, and finds when they exceed their bounds.
//
// The HTTP library bounds neither a line nor a chunked body, nor a body that it decompresses. What it is
// given is followed here first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marigoldladder {

struct RequestBounds {
    std::size_t m_headBytes = std::size_t { 32 } << 10; // Of a request's head, and of its trailers.
    std::size_t m_bodyBytes = std::size_t { 1 } << 20;
};

enum class FramingPart {
    Head,
    Body, // Of a stated length.
    ChunkLine,
    ChunkData, // With the end of line behind it.
    Trailers,
};

// Where on the connection the bytes have come to.
struct RequestFraming {
    FramingPart m_part = FramingPart::Head;
    std::string m_line; // As far as it has come.
    std::size_t m_partBytes = 0; // Of the head, the trailers or a chunk's line.
    std::uint64_t m_left = 0; // Of the body or the chunk.
    std::uint64_t m_bodyBytes = 0; // That have come or were announced by a chunk.
    bool m_hasBegun = false; // The request's first line has come.
    std::optional<std::uint64_t> m_length; // As stated.
    bool m_isChunked = false;
    bool m_isEncoded = false; // The body isn't as it will be taken.
};

// Takes the next bytes. Returns false if they exceed the bounds, or if where the request ends isn't certain;
// what follows on the connection means nothing then.
auto takeBytes(RequestFraming&, const RequestBounds&, std::string_view bytes) -> bool;

// Whether a request has come whole and nothing of another one.
auto isBetweenRequests(const RequestFraming&) -> bool;

} // namespace marigoldladder
