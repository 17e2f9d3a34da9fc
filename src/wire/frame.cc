#include "wire/frame.h"

#include <array>

namespace marigoldladder {

namespace {

    constexpr auto lengthBytes = std::size_t { 4 };
    constexpr auto bitsPerByte = 8U;

    auto decodeLength(const std::array<std::uint8_t, lengthBytes>& bytes) -> std::size_t
    {
        auto length = std::size_t { 0 };
        for (auto i = lengthBytes; i > 0; --i)
            length = (length << bitsPerByte) | bytes.at(i - 1);
        return length;
    }

} // namespace

auto encodeFrame(const wire::EnvelopeT& envelope) -> std::vector<std::uint8_t>
{
    auto builder = flatbuffers::FlatBufferBuilder();
    builder.Finish(wire::Envelope::Pack(builder, &envelope));
    auto frame = std::vector<std::uint8_t>();
    frame.reserve(lengthBytes + builder.GetSize());
    for (auto i = std::size_t { 0 }; i < lengthBytes; ++i)
        frame.push_back(static_cast<std::uint8_t>(builder.GetSize() >> (i * bitsPerByte)));
    frame.insert(frame.end(), builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize());
    return frame;
}

auto decodeEnvelope(const std::uint8_t* bytes, std::size_t size) -> std::optional<wire::EnvelopeT>
{
    auto verifier = flatbuffers::Verifier(bytes, size);
    if (!wire::VerifyEnvelopeBuffer(verifier))
        return std::nullopt;
    const auto* root = wire::GetEnvelope(bytes);
    if (!root->body())
        return std::nullopt;
    auto envelope = wire::EnvelopeT();
    root->UnPackTo(&envelope);
    if (envelope.body.type == wire::Body::NONE || !envelope.body.value)
        return std::nullopt; // A body whose type is missing or of a later version.
    return envelope;
}

auto receiveEnvelope(const Socket& socket, wire::EnvelopeT& envelope) -> ReadOutcome
{
    auto header = std::array<std::uint8_t, lengthBytes> {};
    const auto started = receiveExactly(socket, header.data(), header.size());
    if (started != ReadOutcome::Complete)
        return started;
    const auto length = decodeLength(header);
    if (length == 0 || length > maxFrameBytes)
        return ReadOutcome::Closed;
    auto bytes = std::vector<std::uint8_t>(length);
    if (receiveExactly(socket, bytes.data(), bytes.size()) != ReadOutcome::Complete)
        return ReadOutcome::Closed;
    auto decoded = decodeEnvelope(bytes.data(), bytes.size());
    if (!decoded)
        return ReadOutcome::Closed;
    envelope = std::move(*decoded);
    return ReadOutcome::Complete;
}

auto receiveEnvelopeBefore(
    const Socket& socket, SocketDeadline deadline, std::size_t maxBytes, wire::EnvelopeT& envelope) -> bool
{
    auto header = std::array<std::uint8_t, lengthBytes> {};
    if (!receiveBefore(socket, deadline, header.data(), header.size()))
        return false;
    const auto length = decodeLength(header);
    if (length == 0 || length > maxBytes)
        return false;
    auto bytes = std::vector<std::uint8_t>(length);
    if (!receiveBefore(socket, deadline, bytes.data(), bytes.size()))
        return false;
    auto decoded = decodeEnvelope(bytes.data(), bytes.size());
    if (decoded)
        envelope = std::move(*decoded);
    return decoded.has_value();
}

} // namespace marigoldladder
