// Messages between nodes over TCP: a four-byte little-endian length followed by a FlatBuffers table.
#pragma once

#include "relay/tcp.h"

#include <flatbuffers/flatbuffers.h>
#include <string>

namespace marigoldladder::relay {

inline constexpr auto maxFrameBytes = std::uint32_t { 64 }
    << 20; // More than all objects of the largest fleet.

// Of a call, which anyone may send: it has a few names and numbers.
inline constexpr auto maxCallBytes = std::uint32_t { 16 } << 10;

// Returns the finished table with its length before it.
auto frameOf(const flatbuffers::FlatBufferBuilder&) -> std::string;

// Returns the next message's table; empty if the connection ended, was silent for the time given, or the
// message has more than `maxBytes`. Reads no byte behind the message.
auto readFrame(tcp_stream&, std::chrono::milliseconds silenceTimeout, std::uint32_t maxBytes)
    -> Awaitable<std::string>;

// Returns the table in a message, or null if the bytes are no such table. `identifier`: the four letters that
// tell this kind of message from others at the same port; null if it has none.
template <typename Table>
auto parseFrame(const std::string& message, const char* identifier = nullptr) -> const Table*
{
    const auto* data = reinterpret_cast<const std::uint8_t*>(message.data());
    auto verifier = flatbuffers::Verifier(data, message.size());
    return verifier.VerifyBuffer<Table>(identifier) ? flatbuffers::GetRoot<Table>(data) : nullptr;
}

} // namespace marigoldladder::relay
