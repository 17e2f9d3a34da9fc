// A request that was sent to an upstream, from its connection to the head of its answer.
#pragma once

#include "relay/call_state.h"
#include "relay/calls_in_progress.h"
#include "relay/upstream_call_outcome.h"
#include "relay/upstream_connection_pool.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>

namespace marigoldladder::relay {

// The parser of an answer, of which the head has been read.
using HeadParser = boost::beast::http::response_parser<boost::beast::http::empty_body>;

// The head of an answer.
struct AnswerHead {
    UpstreamAnswer m_answer;
    std::unique_ptr<HeadParser> m_parser; // Null if the connection broke or timed out.
    bool m_timedOut = false;
};

struct SentCall {
    UpstreamPointer m_upstream;
    UpstreamConnectionPointer m_connection; // Null before it is connected.
    std::unique_ptr<CallInProgress> m_inProgress; // Null before the request is written.
    AnswerHead m_head;
};

// A request that was sent to a further upstream beside the one that is at work on it, or silent. The request
// leaves the one only once the further one answers it, as an upstream that seems to have room may refuse it.
struct HedgedCall {
    HedgedCall(const Executor& executor, UpstreamPointer upstream)
        : m_call { std::move(upstream), nullptr, nullptr, {} }
        , m_changed(executor, net::steady_timer::time_point::max())
    {
    }

    SentCall m_call;
    CallProgress m_progress;
    bool m_isSent = false; // Its bytes may have reached the upstream.
    bool m_isGivenUp = false;
    bool m_isAccepted = false; // The upstream has sent the first bytes of its answer.
    std::optional<UpstreamCallOutcome> m_outcome; // Why it isn't accepted, once that is known.
    net::steady_timer m_changed; // Cancelled once it is accepted or not.
};

// Whether it isn't known yet if the hedge is accepted.
auto isOpen(const HedgedCall&) -> bool;

// Returns how a call ended whose connection broke, or was ended, before its answer.
auto outcomeWithoutAnswer(const CallInProgress&, bool timedOut) -> UpstreamCallOutcome;

} // namespace marigoldladder::relay
