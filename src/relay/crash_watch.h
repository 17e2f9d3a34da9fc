// Notices crashes of upstreams, and decides which requests may be sent in view of what crashes them.
#pragma once

#include "relay/relay_settings.h"
#include "relay/upstream_call.h"

namespace marigoldladder::relay {

// Returns what the request has that may crash upstreams: the parts of its prompt that others share, and
// itself. The organisation has to be known.
auto suspectsOf(const CallState&) -> std::vector<Suspect>;

// Whether the next run of the request begins inside its answer: after an event that its caller has.
auto resumesAnswer(const CallState&) -> bool;

// A request that was broken off by an upstream.
struct BrokenRequest {
    std::vector<Suspect> m_suspects;
    bool m_answerBegan = false;
    MonotonicTime m_sentAt {}; // To that upstream.
};

class CrashWatch {
public:
    CrashWatch(Executor, const RelaySettings&, RelayBoard&, UpstreamConnector&);

    // Records that the connection to an upstream broke during a request; checks soon after whether the
    // upstream crashed.
    auto noteBroken(const UpstreamPointer&, const CallState&, const CallProgress&) -> void;

    // Returns the refusal of a request that must not be sent because it would crash the upstream. It may be
    // sent while a trial is due.
    auto refusalOf(const CallState&) -> std::optional<Failure>;

    // The same just before the request is sent, which begins a trial if one is due.
    auto refusalAtDispatch(const CallState&) -> std::optional<Failure>;

    // Whether a request whose connection broke may be sent to another upstream.
    auto mayRepeat(const CallState&) -> bool;

private:
    // Requests that were broken off by one upstream, until it is known whether it crashed.
    struct BrokenConnections {
        MonotonicTime m_firstAt {};
        std::size_t m_requests = 0;
        std::vector<BrokenRequest> m_cut;
    };

    auto check(UpstreamPointer) -> Awaitable<void>;
    auto recordCrashOf(const Upstream&, BrokenConnections) -> void;
    auto judge() -> void;
    auto findConvictedOf(const CallState&) const -> std::optional<Suspect>;
    auto trialWait(const Suspect&) const -> Milliseconds;
    auto refusalFor(const Suspect&) -> Failure;

    Executor m_executor;
    const RelaySettings& m_settings;
    RelayBoard& m_board;
    UpstreamConnector& m_connector;
    std::map<const Upstream*, BrokenConnections> m_broken;
    MonotonicTime m_judgedAt {};
};

} // namespace marigoldladder::relay
