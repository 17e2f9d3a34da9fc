// Speaks to one upstream over HTTP: requests with their answers.
#pragma once

#include "core/blackboard.h"
#include "routing/serve_call.h"

#include <atomic>
#include <string>

namespace marigoldladder {

// Whether the exchange should be given up, because the caller hung up or the node gives up on it.
using CancelFlag = std::atomic<bool>;

// Sends the request on a new connection and passes its answer on. Returns the last event, which the
// caller of this function passes on; the head and the chunks have then been passed to the sink.
auto runCall(const Upstream&, const ServeCall&, const CancelFlag&, Metrics&, const AnswerSink&) -> AnswerEnd;

} // namespace marigoldladder
