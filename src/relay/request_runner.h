// Handles a caller's request: admits it, charges its allowance, sends it to upstreams and retries it.
#pragma once

#include "relay/allowance_exchange.h"
#include "relay/crash_watch.h"
#include "relay/relay_settings.h"
#include "relay/request_attempts.h"
#include "relay/request_limit_exchange.h"
#include "relay/request_log.h"
#include "relay/room_exchange.h"
#include "relay/stream_origin_exchange.h"

namespace marigoldladder::relay {

class RequestRunner {
public:
    RequestRunner(Executor, const RelaySettings&, RelayBoard&, AllowanceExchange&, WaitList&,
        RequestLimitExchange&, RoomExchange&, StreamOriginExchange&, UpstreamCaller&, CrashWatch&,
        const Dialect&);

    // Answers the request in the call state. If the answer is incomplete then, the connection must be closed.
    auto run(CallState&, CallerAnswer&) -> Awaitable<void>;

private:
    // A slot at the next upstream, with everything that sending the request there needs.
    struct Place {
        UpstreamSlot m_slot; // Empty if there is none.
        SlotWait m_wait;
        std::optional<AttemptsEnd> m_end; // Why there is none; empty: there may be one at the next try.
    };

    // Finds the software at which a stream that the caller takes up may go on; returns the refusal if none
    // is known, or none serves.
    auto findOrigin(CallState&) -> Awaitable<std::optional<Failure>>;
    // Charges the organisation's allowance; returns the refusal if it doesn't cover the request.
    auto charge(const CallState&, const Organisation&, RequestAttempts&) -> Awaitable<std::optional<Failure>>;
    // Sends the request to upstreams until one has answered it or no further one may get it.
    auto makeAttempts(CallState&, CallerAnswer&, RequestAttempts&) -> Awaitable<void>;
    // Sends the request to one upstream, or goes on at the one that has accepted it. Returns why it isn't
    // sent to another, or nothing if it may be.
    auto attempt(CallState&, CallerAnswer&, RequestAttempts&) -> Awaitable<std::optional<AttemptsEnd>>;
    auto acquirePlace(const CallState&, RequestAttempts&) -> Awaitable<Place>;
    // Acquires what the owners of the upstream's room and of its limit have to grant. Returns false if they
    // don't.
    auto acquirePermits(UpstreamSlot&) -> Awaitable<bool>;
    // Acquires what sending the request to a further upstream needs besides a slot. Returns why it must not
    // be sent.
    auto obstacleToSend(const CallState&, RequestAttempts&) -> std::optional<AttemptsEnd>;
    auto acquireRetry(RequestAttempts&) -> bool;
    // Gives back the retry that was counted for an attempt that wasn't sent to its upstream.
    auto giveBackRetry(RequestAttempts&) -> void;
    // Records how a call ended. Returns why the request isn't sent to another upstream, or nothing if it may
    // be.
    auto recordCall(const CallState&, const CallProgress&, RequestAttempts&, const UpstreamPointer&,
        UpstreamCallOutcome) -> std::optional<AttemptsEnd>;

    auto handleSilence(CallState&, RequestAttempts&, const UpstreamPointer&) -> SilenceHandling;
    auto noteSilence(const CallState&, Upstream&, std::optional<AttemptsEnd> stayReason) -> void;
    // Sends the request as a hedge to an upstream other than this silent one. Returns why it stays, or
    // nothing once the other one has accepted it, where the next attempt goes on.
    auto tryMove(CallState&, RequestAttempts&, const UpstreamPointer& silent) -> std::optional<AttemptsEnd>;
    auto obstacleToMove(const CallState&, const RequestAttempts&) const -> std::optional<AttemptsEnd>;
    auto beginMove(const RequestAttempts&, const UpstreamPointer& silent) -> std::shared_ptr<PreparedMove>;
    auto acquirePermit(std::shared_ptr<PreparedMove>) -> Awaitable<void>;
    auto sendHedge(CallState&, RequestAttempts&) -> std::optional<AttemptsEnd>;
    // Waits for the answer to a hedge that is open. Returns the move if it was accepted, else null.
    auto awaitMove(CallState&, RequestAttempts&) -> Awaitable<std::shared_ptr<PreparedMove>>;
    // Takes back what was prepared. An upstream to which the request was sent may run it.
    auto giveUpMove(const CallState&, RequestAttempts&) -> void;
    // Records how a hedge ended that wasn't accepted.
    auto recordHedge(const CallState&, RequestAttempts&) -> void;

    auto refuse(const CallState&, CallerAnswer&, const Failure&, std::optional<AttemptsEnd> = std::nullopt)
        -> Awaitable<void>;
    auto finish(const CallState&, CallerAnswer&, const RequestAttempts&) -> Awaitable<void>;

    Executor m_executor;
    const RelaySettings& m_settings;
    RelayBoard& m_board;
    AllowanceExchange& m_allowances;
    WaitList& m_waitList;
    RequestLimitExchange& m_requestLimits;
    RoomExchange& m_rooms;
    StreamOriginExchange& m_origins;
    UpstreamCaller& m_upstreamCaller;
    CrashWatch& m_crashWatch;
    const Dialect& m_dialect;
    RequestLog m_log;
    std::mt19937 m_random;
};

} // namespace marigoldladder::relay
