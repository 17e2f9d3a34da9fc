// Frames between nodes: four bytes of length, little-endian, then one FlatBuffers envelope.
#pragma once

#include "wire/generated/messages_generated.h"
#include "wire/socket.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace marigoldladder {

// The largest frame that is sent or taken in.
inline constexpr auto maxFrameBytes = std::size_t { 8 } * 1024 * 1024;

// Returns a whole frame, length included.
auto encodeFrame(const wire::EnvelopeT&) -> std::vector<std::uint8_t>;

// Reads an envelope from a frame's bytes after the length; nothing when they are not one.
auto decodeEnvelope(const std::uint8_t* bytes, std::size_t size) -> std::optional<wire::EnvelopeT>;

// Reads one frame. On `Complete` the envelope is filled in; bytes that are no frame count as `Closed`.
auto receiveEnvelope(const Socket&, wire::EnvelopeT&) -> ReadOutcome;

// Reads one frame of at most `maxBytes` before the deadline; false when none came.
auto receiveEnvelopeBefore(const Socket&, SocketDeadline, std::size_t maxBytes, wire::EnvelopeT&) -> bool;

// Makes an envelope from a message.
template <typename Message> auto makeEnvelope(std::uint64_t correlation, Message message) -> wire::EnvelopeT
{
    auto envelope = wire::EnvelopeT();
    envelope.correlation = correlation;
    envelope.body.Set(std::move(message));
    return envelope;
}

} // namespace marigoldladder
