// Sends a request to an upstream and forwards its answer to the caller.
#pragma once

#include "relay/caller_answer.h"
#include "relay/sent_call.h"
#include "relay/silence_watch.h"
#include "relay/upstream_health.h"

namespace marigoldladder::relay {

class UpstreamCaller {
public:
    UpstreamCaller(UpstreamConnectionPool&, const Dialect&, RelayBoard&);

    // Sends the request and forwards the answer. Silence of the upstream is handled as given; by itself it
    // ends a call at the request's deadline only.
    auto call(CallState&, CallerAnswer&, const UpstreamPointer&, const SilenceHandling&)
        -> Awaitable<UpstreamCallOutcome>;

    // Sends the request to a further upstream while its call to another one goes on, and waits until the
    // further one answers it. Nothing is forwarded.
    auto hedge(std::shared_ptr<CallState>, std::shared_ptr<HedgedCall>) -> Awaitable<void>;

    // Forwards the answer of an upstream that has accepted the request, like `call`.
    auto take(CallState&, CallerAnswer&, HedgedCall&, const SilenceHandling&)
        -> Awaitable<UpstreamCallOutcome>;

private:
    // Returns why the request must not be sent to the upstream now, although the upstream was chosen for it.
    auto obstacleToSend(const CallState&, const Upstream&) const -> std::optional<UpstreamCallOutcome>;
    auto saysOfUpstream(const CallProgress&, const Upstream&) const -> bool;
    // Returns why the request can't be sent, or nothing once it may be written to the connection.
    auto connect(CallState&, CallProgress&, SentCall&) -> Awaitable<std::optional<UpstreamCallOutcome>>;
    // Acquires a connection on which the request may be sent, and returns whether there is one. Sets
    // `refused` as the pool does.
    auto acquireConnection(const CallState&, SentCall&, bool& refused) -> Awaitable<bool>;
    // Whether what answers on the connection may go on with the request's stream.
    auto fitsOrigin(const CallState&, const SentCall&) -> bool;
    // Records that another run answers at the upstream's address than its entry tells of.
    auto noteUnlistedRun(Upstream&, SoftwareId, std::uint64_t startedAt) -> void;
    // Writes the request and reads the head of its answer.
    auto send(CallState&, CallProgress&, SentCall&) -> Awaitable<void>;
    // Forwards the answer whose head was read.
    auto receive(CallState&, CallerAnswer&, SentCall&, SilenceWatch&) -> Awaitable<UpstreamCallOutcome>;
    auto receiveWhole(CallState&, CallerAnswer&, SentCall&, const SilenceWatch&)
        -> Awaitable<UpstreamCallOutcome>;
    auto receiveRefusal(CallState&, CallProgress&, SentCall&) -> Awaitable<void>;
    // Returns why the upstream doesn't answer the request, or nothing once the answer's first bytes are
    // there.
    auto awaitAnswer(CallState&, HedgedCall&) -> Awaitable<std::optional<UpstreamCallOutcome>>;
    auto recordEnd(const CallProgress&, Upstream&, UpstreamCallOutcome, bool refused = false) -> void;
    auto recordReachability(Upstream&, UpstreamCallOutcome, bool refused) -> void;
    auto recordMissingAdapter(const std::string& adapter, Upstream&, MonotonicTime now) -> void;
    static auto recordNoRoom(CallProgress&, Upstream&, MonotonicTime now) -> void;
    auto recordRefusal(const CallState&, CallProgress&, Upstream&, const UpstreamAnswer&) -> void;

    UpstreamConnectionPool& m_connections;
    const Dialect& m_dialect;
    RelayBoard& m_board;
};

} // namespace marigoldladder::relay
