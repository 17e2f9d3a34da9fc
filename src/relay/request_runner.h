// Handles a caller's request: admits it, charges its allowance, sends it to upstreams and retries it.
#pragma once

#include "relay/allowance_exchange.h"
#include "relay/attempts_end.h"
#include "relay/crash_watch.h"
#include "relay/relay_settings.h"
#include "relay/request_limit_exchange.h"
#include "relay/request_log.h"
#include "relay/upstream_call.h"
#include "relay/wait_list.h"

namespace marigoldladder::relay {

class RequestRunner {
public:
    RequestRunner(Executor, const RelaySettings&, RelayBoard&, AllowanceExchange&, WaitList&,
        RequestLimitExchange&, UpstreamCaller&, CrashWatch&, const Dialect&);

    // Answers the request in the call state. If the answer is incomplete then, the connection must be closed.
    auto run(CallState&, CallerAnswer&) -> Awaitable<void>;

private:
    struct Attempts;
    struct Move;

    // How long a request waited for a slot on an upstream, and why.
    struct SlotWait {
        Milliseconds m_time { 0 };
        ChoiceOutcome m_reason = ChoiceOutcome::Chosen; // `Chosen`: it got a slot at once.
    };

    // A slot at the next upstream, with everything that sending the request there needs.
    struct Place {
        UpstreamSlot m_slot; // Empty if there is none.
        SlotWait m_wait;
        std::optional<AttemptsEnd> m_end; // Why there is none; empty: there may be one at the next try.
    };

    auto admit(CallState&) -> Result<const Organisation*>;
    auto acceptsStream(const CallState&) const -> bool;
    // Charges the organisation's allowance; returns the refusal if it doesn't cover the request.
    auto charge(CallState&, const Organisation&, Attempts&) -> Awaitable<std::optional<Failure>>;
    // Sends the request to one upstream. Returns why it isn't sent to another, or nothing if it may be.
    auto attempt(CallState&, CallerAnswer&, Attempts&) -> Awaitable<std::optional<AttemptsEnd>>;
    auto acquirePlace(const CallState&, Attempts&) -> Awaitable<Place>;
    auto handleSilence(const CallState&, Attempts&, const UpstreamPointer&) -> SilenceHandling;
    auto noteSilence(const CallState&, Upstream&, std::optional<AttemptsEnd> stayReason) -> void;
    // Acquires a place at an upstream other than this silent one. Returns why there is none now, or nothing
    // if there is one, which the next attempt takes.
    auto tryMove(const CallState&, Attempts&, const UpstreamPointer&) -> std::optional<AttemptsEnd>;
    auto beginMove(const Attempts&, const UpstreamPointer&) -> std::shared_ptr<Move>;
    auto acquirePermit(std::shared_ptr<Move>) -> Awaitable<void>;
    auto obstacleToSend(const CallState&, Attempts&) -> std::optional<AttemptsEnd>;
    auto acquireRetry(Attempts&) -> bool;
    // Undoes what was counted for an attempt that wasn't sent to its upstream.
    auto undoSend(Attempts&) -> void;
    auto endAfter(UpstreamCallOutcome, const CallState&, Attempts&) -> std::optional<AttemptsEnd>;
    auto refuse(CallState&, CallerAnswer&, const Failure&, std::optional<AttemptsEnd> = std::nullopt)
        -> Awaitable<void>;
    auto finish(CallState&, CallerAnswer&, Attempts&) -> Awaitable<void>;
    auto logAttempt(const CallState&, const Upstream&, UpstreamCallOutcome, const SlotWait&,
        std::optional<AttemptsEnd>) -> void;
    auto logEnd(const CallState&, std::string_view event, std::string reason,
        std::optional<AttemptsEnd> = std::nullopt) -> void;
    auto recordTestedLoad(const Upstream&, const std::string& adapter, UpstreamCallOutcome) -> void;
    auto failureFor(const CallState&, const Attempts&) -> Failure;
    auto retryAfter(const Attempts&) -> Milliseconds;

    Executor m_executor;
    const RelaySettings& m_settings;
    RelayBoard& m_board;
    AllowanceExchange& m_allowances;
    WaitList& m_waitList;
    RequestLimitExchange& m_requestLimits;
    UpstreamCaller& m_upstreamCaller;
    CrashWatch& m_crashWatch;
    const Dialect& m_dialect;
    RequestLog m_log;
    std::mt19937 m_random;
};

} // namespace marigoldladder::relay
