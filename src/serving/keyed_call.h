// Calls under idempotency keys, and their answers, as they travel between nodes.
#pragma once

#include "routing/answer_stream.h"
#include "serving/keyed_ledger.h"
#include "wire/peer_connection.h"

namespace marigoldladder {

struct KeyedRequest;

auto encodeKeyedCall(const KeyedRequest&, MonotonicTime deadline) -> wire::KeyedCallT;
auto decodeKeyedCall(const wire::KeyedCallT&) -> KeyedRequest;

// Sends a whole answer, or a failure, as the events of an answer stream.
auto sendAnswer(PeerConnection&, std::uint64_t correlation, const Result<KeptAnswer>&) -> void;

// Waits for an answer's next event; nothing when none came until the deadline.
using NextEvent = std::function<std::optional<AnswerEvent>(MonotonicTime deadline)>;

// Waits for the rest of an answer, added to `begun`; `MayHaveRun` when it does not end in time.
auto collectAnswer(const NextEvent&, KeptAnswer begun, MonotonicTime deadline) -> Result<KeptAnswer>;

} // namespace marigoldladder
