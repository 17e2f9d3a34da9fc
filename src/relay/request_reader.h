// Reads one request from a caller's connection, within bounds of size, time and memory.
#pragma once

#include "relay/bounded_body.h"
#include "relay/dialect.h"
#include "relay/routing_configuration.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <string_view>

namespace marigoldladder::relay {

// What is read from a caller's connection at once.
inline constexpr auto readBufferBytes = std::size_t { 4 } << 10;

class RequestReader {
public:
    using Message = beast::http::request<beast::http::string_body>;

    // `mayHold` is asked with all that the request takes: what the buffer holds, its head and its body.
    RequestReader(tcp_stream&, beast::flat_buffer&, const CallerBounds&, MayHold mayHold);

    // Return `timeout` if it came too slowly, and `tooLittleMemory` if its memory isn't granted.
    auto readHead() -> Awaitable<ErrorCode>;
    auto readBody() -> Awaitable<ErrorCode>;

    auto head() const -> const HeaderFields& { return m_parser.get().base(); }
    // Whether the request is HEAD, as far as its head was read.
    auto asksForHead() const -> bool { return m_parser.get().method() == beast::http::verb::head; }
    // Whether nothing follows the head.
    auto isComplete() const -> bool { return m_parser.is_done(); }

    // Returns the request. Trailers aren't a part of it.
    auto release() -> Message;

private:
    auto parseHead() -> ErrorCode;
    auto readSome() -> Awaitable<ErrorCode>;
    auto countLines(std::string_view bytes) -> void;
    auto mayHoldHead() -> bool;
    auto headBytes() const -> std::size_t;

    tcp_stream& m_stream;
    beast::flat_buffer& m_buffer;
    CallerBounds m_bounds;
    MayHold m_mayHold;
    beast::http::request_parser<beast::http::buffer_body> m_parser;
    std::size_t m_bytesParsed = 0; // Of the head.
    std::size_t m_lines = 0; // Of the head, as far as it has arrived.
    beast::http::request_header<> m_head; // Once it is whole and a body follows.
    std::string m_body;
};

} // namespace marigoldladder::relay
