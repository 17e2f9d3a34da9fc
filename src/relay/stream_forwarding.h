// Forwards an upstream's stream of events to the caller.
#pragma once

#include "relay/upstream_call.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace marigoldladder::relay {

// The parser of an answer, of which the head has been read.
using HeadParser = boost::beast::http::response_parser<boost::beast::http::empty_body>;

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
