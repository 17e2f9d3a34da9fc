// Makes the datagrams between nodes.
#pragma once

#include "relay/generated/peer_messages_generated.h"

#include <string>
#include <utility>

namespace marigoldladder::relay {

// Returns the serialised datagram that contains this message, of a type such as `messages::SummaryT`.
template <typename Message> auto encodeDatagram(Message message) -> std::string
{
    auto content = messages::PeerMessageUnion();
    content.Set(std::move(message));
    auto builder = flatbuffers::FlatBufferBuilder();
    const auto packed = content.Pack(builder);
    builder.Finish(messages::CreateDatagram(builder, content.type, packed));
    return std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
}

} // namespace marigoldladder::relay
