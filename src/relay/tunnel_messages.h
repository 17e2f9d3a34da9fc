// What opens a tunnel: a connection to an upstream that another node makes for this one.
#pragma once

#include "relay/generated/peer_messages_generated.h"
#include "relay/message_frames.h"

namespace marigoldladder::relay {

// Identifiers of the two messages, see the schema.
inline constexpr auto tunnelRequestIdentifier = "TUNL";
inline constexpr auto tunnelAnswerIdentifier = "TUNA";

} // namespace marigoldladder::relay
