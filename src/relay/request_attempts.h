// The state of one request's attempts at upstreams, for the sources of `RequestRunner`.
#pragma once

#include "relay/request_runner.h"

#include <memory>
#include <optional>

namespace marigoldladder::relay {

// A slot at another upstream, acquired while the current one is silent.
struct RequestRunner::Move {
    UpstreamSlot m_slot;
    bool m_asksForPermit = false; // Of the upstream's request limit; the permit is pending.
    bool m_isPermitted = true;
};

// The attempts made so far for one request.
struct RequestRunner::Attempts {
    UpstreamNeeds m_needs;
    std::size_t m_runs = 0; // Upstreams that ran the request or may have run it.
    std::size_t m_sends = 0; // Upstreams to which the request was sent.
    std::optional<MonotonicTime> m_retryCountedAt; // Of the latest attempt; empty: it is no retry.
    bool m_timedOut = false;
    std::optional<std::size_t> m_clearedSend; // Number of the send that the crash watch allowed last.
    std::optional<Failure> m_refusal; // Why it isn't sent although an upstream could take it.
    ChoiceOutcome m_lastOutcome = ChoiceOutcome::Chosen;
    MonotonicTime m_retryAt {}; // When the last outcome may change by time alone; zero: unknown.
    std::optional<AttemptsEnd> m_end; // Why no further upstream gets it; empty: one may get it.
    std::shared_ptr<Move> m_move; // To the next upstream; null: none is prepared.
    bool m_isSilenceNoted = false; // Of the current upstream.
    AllowanceDecision m_charge;
};

} // namespace marigoldladder::relay
