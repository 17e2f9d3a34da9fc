// Speaks to one upstream over HTTP: requests with their answers.
#pragma once

#include "core/blackboard.h"
#include "routing/serve_call.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>

namespace marigoldladder {

// Lets any thread give up an exchange, because the caller hung up or the node gives up on it.
class CallControl {
public:
    // Breaks the exchange off, also while it waits for the upstream. Repeating it does no harm.
    auto cancel() -> void;
    auto cancelled() const -> bool { return m_cancelled; }

    // Sets what breaks the exchange off while it runs; null when it no longer does.
    auto setBreaker(std::function<void()>) -> void;

private:
    std::atomic<bool> m_cancelled { false };
    std::mutex m_mutex;
    std::function<void()> m_breaker;
};

// What an exchange with an upstream came to.
enum class ExchangeOutcome {
    Answered, // To the end; the upstream's own refusals count too.
    Overloaded, // The upstream refused because it is busy, or failed by itself.
    Unreachable, // No connection, so no byte of the request was sent.
    Lost, // The connection broke.
    Silent, // Nothing came for longer than an upstream at work is silent.
    Cancelled,
};

struct ExchangeEnd {
    ExchangeOutcome m_outcome = ExchangeOutcome::Answered;
    AnswerEnd m_end;
    std::string m_bootId; // Names the engine's run, where it tells.
    bool m_notLoaded = false; // The engine does not have the adapter.
};

// How long an upstream at work on the call may send nothing.
auto silenceBoundOf(const ServeCall&) -> std::chrono::milliseconds;

// Sends the request on a new connection and passes its answer on, dropping and counting events that belong
// to another request, adapter, version or position. The head and the chunks have been passed to the sink
// on return; the end is for the caller of this function to pass on.
auto runCall(const Upstream&, const ServeCall&, CallControl&, Metrics&, const AnswerSink&) -> ExchangeEnd;

// What an upstream tells about itself outside any request.
struct UpstreamProbe {
    bool m_refused = false; // Nobody listens at its address.
    std::string m_bootId; // Empty when it did not answer or names no run.
};

auto probeUpstream(const Upstream&) -> UpstreamProbe;

} // namespace marigoldladder
