// Writes answers of the caller's interface: errors, whole answers and event streams.
#pragma once

#include "limits/allowance.h"
#include "serving/request_runner.h"

#include <functional>
#include <httplib.h>

namespace marigoldladder {

// Writes a failure as the interface's error JSON, with the header that carries its verdict.
auto writeFailure(httplib::Response&, const Failure&, const RequestId&) -> void;

// Called once at the end of an answer with its last event.
using AnswerFinish = std::function<void(const AnswerEnd&)>;

// Writes the answer that was started, as it comes in or at once, and calls `finish` at its end.
auto writeAnswer(httplib::Response&, StartedAnswer, const RequestId&, bool stream, AnswerFinish finish)
    -> void;

} // namespace marigoldladder
