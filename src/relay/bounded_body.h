// Reads the body of an HTTP message piece by piece, and asks for each piece's memory before it is taken.
#pragma once

#include "relay/tcp.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <cstdint>
#include <functional>
#include <string>

namespace marigoldladder::relay {

// Asked again and again while a message is read, and before it takes more memory; `bytes` is what it takes in
// all. False: it may not, and reading ends.
using MayHold = std::function<bool(std::size_t bytes)>;

inline constexpr auto firstBodyPieceBytes = std::size_t { 4 } << 10;

// A message whose memory isn't granted.
inline auto tooLittleMemory() -> ErrorCode
{
    return net::error::make_error_code(net::error::no_memory);
}

// Returns the size to which a full body grows of which at most `expected` bytes are still to come.
inline auto grownSize(std::size_t size, std::uint64_t expected) -> std::size_t
{
    const auto doubled = std::max(size, firstBodyPieceBytes);
    return size + static_cast<std::size_t>(std::min<std::uint64_t>(expected, doubled));
}

// Takes no more memory than the size given.
inline auto growTo(std::string& body, std::size_t size) -> void
{
    auto larger = std::string();
    larger.reserve(size);
    larger.append(body);
    larger.resize(size);
    body = std::move(larger);
}

// Reads the rest of a message whose head the parser has, into an empty string. `maxBytes` bounds the body as
// the parser does; the buffer's bound is that of trailers. Returns `tooLittleMemory` if the memory isn't
// granted.
template <bool isRequest>
auto readBody(tcp_stream& stream, beast::flat_buffer& buffer,
    beast::http::parser<isRequest, beast::http::buffer_body>& parser, std::uint64_t maxBytes,
    std::string& body, const MayHold& mayHold) -> Awaitable<ErrorCode>
{
    namespace http = beast::http;
    auto length = std::size_t { 0 };
    auto error = ErrorCode();
    auto isFull = parser.content_length_remaining().value_or(0) > 0;
    parser.eager(true); // All that has arrived in one step, however small its chunks.
    while (!parser.is_done() && !error) {
        const auto expected = parser.content_length_remaining().value_or(maxBytes - length);
        const auto size = isFull ? grownSize(length, expected) : body.size();
        auto granted = mayHold(size);
        if (granted && isFull && size > firstBodyPieceBytes) {
            // Those that yielded free their memory before this takes it.
            co_await net::post(co_await net::this_coro::executor, net::use_awaitable);
            granted = mayHold(size);
        }
        if (!granted) {
            error = tooLittleMemory();
            break;
        }
        if (isFull)
            growTo(body, size);
        auto& space = parser.get().body();
        space.data = body.data() + length;
        space.size = body.size() - length;
        co_await http::async_read_some(stream, buffer, parser, errorTo(error));
        length = body.size() - space.size;
        isFull = error == http::error::need_buffer;
        if (isFull)
            error = {};
    }
    body.resize(length);
    co_return error;
}

} // namespace marigoldladder::relay
