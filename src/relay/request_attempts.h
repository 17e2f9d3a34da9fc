// The attempts at upstreams that were made for one request, and whether a further one may follow.
#pragma once

#include "relay/allowance_exchange.h"
#include "relay/attempts_end.h"
#include "relay/upstream_call.h"
#include "relay/wait_list.h"

#include <cstddef>
#include <memory>
#include <optional>

namespace marigoldladder::relay {

// How long a request waited for a slot on an upstream, and why.
struct SlotWait {
    Milliseconds m_time { 0 };
    ChoiceOutcome m_reason = ChoiceOutcome::Chosen; // `Chosen`: it got a slot at once.
};

// A slot at another upstream, acquired while the current one is silent.
struct PreparedMove {
    UpstreamSlot m_slot;
    bool m_asksForPermit = false; // Of the upstream's request limit or room; the permit is pending.
    bool m_isPermitted = true;
    std::shared_ptr<HedgedCall> m_hedge {}; // Null before the request is sent there.
};

struct RequestAttempts {
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
    std::shared_ptr<PreparedMove> m_move; // To the next upstream; null: none is prepared.
    bool m_isSilenceNoted = false; // Of the current upstream.
    std::optional<AttemptsEnd>
        m_hedgesEnd; // Why it is sent to no further upstream as a hedge; empty: it may be.
    AllowanceDecision m_charge;
};

// Counts a call by how it ended. `isLate`: the request's deadline has passed.
auto countCall(RequestAttempts&, UpstreamCallOutcome, bool isLate) -> void;

// Returns why the request isn't sent to a further upstream after a call that was counted already, or nothing
// if it may be as far as the attempts tell.
auto endAfter(const RequestAttempts&, UpstreamCallOutcome, const Route&, bool isLate)
    -> std::optional<AttemptsEnd>;

} // namespace marigoldladder::relay
