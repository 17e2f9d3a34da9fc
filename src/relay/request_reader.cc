#include "relay/request_reader.h"

#include "relay/read_timeout.h"

#include <boost/asio/write.hpp>

namespace marigoldladder::relay {

namespace http = boost::beast::http;

namespace {

    constexpr auto fieldBytes = std::size_t { 128 }; // That a parsed field takes besides its text.

    // Returns `timeout` instead of the error by which the timeout ended the reading.
    auto readError(ErrorCode error, const ReadTimeout& timeout) -> ErrorCode
    {
        const auto mayBeTimeout = error == net::error::operation_aborted || error == tooLittleMemory();
        return mayBeTimeout && timeout.expired() ? ErrorCode(beast::error::timeout) : error;
    }

    auto contentOf(const beast::flat_buffer& buffer) -> std::string_view
    {
        return { static_cast<const char*>(buffer.data().data()), buffer.size() };
    }

} // namespace

RequestReader::RequestReader(
    tcp_stream& stream, beast::flat_buffer& buffer, const CallerBounds& bounds, MayHold mayHold)
    : m_stream(stream)
    , m_buffer(buffer)
    , m_bounds(bounds)
    , m_mayHold(std::move(mayHold))
{
    m_parser.header_limit(static_cast<std::uint32_t>(m_bounds.m_headerBytes));
    m_parser.body_limit(m_bounds.m_bodyBytes);
    // The parser bounds the head; what it takes for a unit behind the head stays in the buffer until whole.
    m_buffer.max_size(m_bounds.m_headerBytes + readBufferBytes);
    countLines(contentOf(m_buffer));
}

auto RequestReader::countLines(std::string_view bytes) -> void
{
    const auto head = bytes.substr(0, bytes.find("\r\n\r\n"));
    m_lines += static_cast<std::size_t>(std::count(head.begin(), head.end(), '\n'));
}

auto RequestReader::headBytes() const -> std::size_t
{
    return m_buffer.capacity() + m_bytesParsed + m_lines * fieldBytes;
}

auto RequestReader::mayHoldHead() -> bool
{
    return m_mayHold(headBytes());
}

// Returns `need_more` as long as the head isn't whole.
auto RequestReader::parseHead() -> ErrorCode
{
    if (!mayHoldHead())
        return tooLittleMemory();
    auto error = ErrorCode();
    const auto length = m_parser.put(m_buffer.data(), error);
    m_buffer.consume(length);
    m_bytesParsed += length;
    return error;
}

auto RequestReader::readSome() -> Awaitable<ErrorCode>
{
    auto error = ErrorCode();
    const auto space = m_buffer.prepare(readBufferBytes);
    const auto length = co_await m_stream.async_read_some(space, errorTo(error));
    m_buffer.commit(length);
    countLines({ static_cast<const char*>(space.data()), length });
    co_return error;
}

auto RequestReader::readHead() -> Awaitable<ErrorCode>
{
    const auto timeout = ReadTimeout(m_stream, m_bounds.m_headerTimeout);
    auto error = parseHead();
    while (error == http::error::need_more) {
        const auto failed = co_await readSome();
        if (failed)
            co_return readError(failed, timeout);
        error = parseHead();
    }
    if (!error)
        m_lines = static_cast<std::size_t>(std::distance(head().begin(), head().end()));
    co_return error;
}

auto RequestReader::readBody() -> Awaitable<ErrorCode>
{
    // The parser would add trailers to the head.
    m_head = std::move(m_parser.get().base());
    const auto timeout = ReadTimeout(m_stream, m_bounds.m_bodyTimeout);
    auto error = ErrorCode();
    if (beast::iequals(m_head[http::field::expect], "100-continue")) {
        static constexpr auto continueLine = std::string_view("HTTP/1.1 100 Continue\r\n\r\n");
        co_await net::async_write(m_stream, net::buffer(continueLine), errorTo(error));
    }
    // While bytes are always there, no read waits and none is ended by the timeout.
    const auto mayHold
        = [&](std::size_t bytes) { return !timeout.expired() && m_mayHold(headBytes() + bytes); };
    if (!error)
        error = co_await relay::readBody(m_stream, m_buffer, m_parser, m_bounds.m_bodyBytes, m_body, mayHold);
    co_return readError(error, timeout);
}

auto RequestReader::release() -> Message
{
    const auto hasBody = m_head.begin() != m_head.end();
    auto message = Message(hasBody ? std::move(m_head) : std::move(m_parser.get().base()));
    message.body() = std::move(m_body);
    return message;
}

} // namespace marigoldladder::relay
