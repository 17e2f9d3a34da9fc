// Speaks to one upstream over HTTP: orders to load and evict adapters, and requests with their answers.
#pragma once

#include "core/blackboard.h"
#include "routing/serve_call.h"

#include <atomic>
#include <string>

namespace marigoldladder {

// Orders the engine to load an adapter; `NotRun` when it refuses or certainly did not hear of it.
auto orderLoad(const Upstream&, const AdapterRef&, const std::string& path, FencingNumber) -> Result<void>;
auto orderEvict(const Upstream&, const AdapterRef&, FencingNumber) -> Result<void>;

// Whether the exchange should be given up, because the caller hung up or the node gives up on it.
using CancelFlag = std::atomic<bool>;

// Sends the request on a new connection and passes its answer on. Returns the last event, which the
// caller of this function passes on; the head and the chunks have then been passed to the sink.
auto runCall(const Upstream&, const ServeCall&, const CancelFlag&, Metrics&, const AnswerSink&) -> AnswerEnd;

} // namespace marigoldladder
