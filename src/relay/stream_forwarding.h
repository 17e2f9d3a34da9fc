// Forwards an upstream's stream of events to the caller.
#pragma once

#include "relay/caller_answer.h"
#include "relay/sent_call.h"
#include "relay/silence_watch.h"

namespace marigoldladder::relay {

struct StreamResult {
    UpstreamCallOutcome m_outcome = UpstreamCallOutcome::Interrupted;
    bool m_keepAlive = false; // The connection may serve another request.
};

// Records that the upstream has begun to answer the request.
auto recordAnswerBegan(CallState&, RelayBoard&) -> void;

// Records that the upstream has answered the request from the beginning to the end.
auto recordAnswerEnded(const CallState&, RelayBoard&) -> void;

// Forwards whole events only, so that another upstream can resume the stream after the last one sent. Watches
// for pauses between events.
auto forwardStream(CallState&, CallerAnswer&, UpstreamConnection&, HeadParser&, SilenceWatch&, RelayBoard&)
    -> Awaitable<StreamResult>;

} // namespace marigoldladder::relay
