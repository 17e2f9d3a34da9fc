#include "relay/message_frames.h"

#include <array>
#include <boost/asio/read.hpp>

namespace marigoldladder::relay {

namespace {

    constexpr auto pieceBytes = std::size_t { 64 } << 10; // Of a message, read at once.
    constexpr auto lengthBytes = std::size_t { 4 };
    constexpr auto bitsPerByte = 8U;

    auto readLength(const std::array<unsigned char, lengthBytes>& bytes) -> std::uint32_t
    {
        auto length = std::uint32_t { 0 };
        for (auto index = std::size_t { 0 }; index < lengthBytes; ++index)
            length |= static_cast<std::uint32_t>(bytes[index]) << (index * bitsPerByte);
        return length;
    }

} // namespace

auto frameOf(const flatbuffers::FlatBufferBuilder& builder) -> std::string
{
    auto bytes = std::string();
    for (auto index = std::size_t { 0 }; index < lengthBytes; ++index)
        bytes.push_back(static_cast<char>(builder.GetSize() >> (index * bitsPerByte)));
    bytes.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
    return bytes;
}

auto readFrame(tcp_stream& stream, std::chrono::milliseconds silenceTimeout, std::uint32_t maxBytes)
    -> Awaitable<std::string>
{
    auto error = ErrorCode();
    auto header = std::array<unsigned char, lengthBytes>();
    stream.expires_after(silenceTimeout);
    co_await net::async_read(stream, net::buffer(header), errorTo(error));
    const auto length = readLength(header);
    if (error || length > maxBytes)
        co_return std::string();
    auto message = std::string();
    while (message.size() < length) {
        const auto begin = message.size();
        message.resize(std::min<std::size_t>(length, begin + pieceBytes));
        stream.expires_after(silenceTimeout);
        const auto space = net::buffer(message.data() + begin, message.size() - begin);
        const auto received = co_await stream.async_read_some(space, errorTo(error));
        if (error)
            co_return std::string();
        message.resize(begin + received);
    }
    co_return message;
}

} // namespace marigoldladder::relay
