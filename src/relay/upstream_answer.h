// Reads the answer to one request from a connection to an upstream, past answers to other requests.
#pragma once

#include "relay/bounded_body.h"
#include "relay/relay_board.h"
#include "relay/sent_call.h"

namespace marigoldladder::relay {

// Reads the head of the answer to a request. Answers to others are discarded and counted.
auto readHead(UpstreamConnection&, const CallState&, const Dialect&, RelayBoard&) -> Awaitable<AnswerHead>;

// Reads the rest of an answer, and whether its connection may be used again; returns the error if the answer
// is incomplete, and `tooLittleMemory` if it must not be kept.
auto readWhole(UpstreamConnection&, HeadParser& head, WholeAnswer&, bool& keepAlive, const MayHold&)
    -> Awaitable<ErrorCode>;

// Returns how long the upstream keeps an idle connection open.
auto keepAliveTimeout(const HeaderFields&) -> Milliseconds;

} // namespace marigoldladder::relay
