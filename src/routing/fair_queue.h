// Which of the calls waiting for an upstream goes next: weighted fair queueing in tokens.
//
// Within a priority class, organisations share the upstream's tokens by their weights, so that one sending
// several times its share delays only itself. The classes share it too, with nearly all for interactive
// calls; the rest keeps overnight and batch calls moving under any load. Queues are bounded, and a call
// that would not be served in time is refused at once.
//
// It is start-time fair queueing, see Goyal, Vin and Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
#pragma once

#include "core/blackboard.h"
#include "routing/serve_call.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace marigoldladder {

// A call as far as its turn is concerned.
struct QueuedCall {
    RequestId m_id; // Of this try.
    OrganisationName m_organisation;
    double m_weight = 1; // Above 0.
    Priority m_priority = Priority::Interactive;
    double m_costTokens = 1;
    MonotonicTime m_deadline {};
};

struct QueueBounds {
    std::size_t m_perOrganisation = 64; // Calls that may wait.
    std::size_t m_total = 256;
};

struct OrganisationQueue {
    std::deque<QueuedCall> m_calls;
    double m_finishTag = 0; // Virtual time at which what it was served is paid for.
    double m_waitingTokens = 0;
};

struct ClassQueue {
    std::map<OrganisationName, OrganisationQueue> m_organisations;
    double m_virtualTime = 0; // The start tag of the call served last.
    double m_finishTag = 0; // As an organisation's, among the classes.
    std::size_t m_waiting = 0;
};

struct FairQueue {
    QueueBounds m_bounds;
    std::array<ClassQueue, priorityNames.size()> m_classes; // By `Priority`.
    double m_virtualTime = 0;
    std::size_t m_waiting = 0;
    double m_tokensPerSecond = 0; // What the upstream serves; 0 when not known yet.
};

struct QueueDecision {
    bool m_accepted = false;
    std::chrono::milliseconds m_retryAfter {}; // For a refused call.
    std::optional<RequestId> m_displaced; // A waiting call that has to give way, to be refused.
};

// Takes the call in or refuses it. A full queue takes it in if its organisation waits for less than the one
// with most calls waiting, which then loses its newest.
auto enqueueCall(FairQueue&, QueuedCall, MonotonicTime now) -> QueueDecision;

// Tells whether a waiting call could start right now.
using ReadyCheck = std::function<bool(const QueuedCall&)>;

// Removes and returns the call whose turn it is among those that are ready; nothing when none is.
auto takeNextCall(FairQueue&, const ReadyCheck&) -> std::optional<QueuedCall>;

// Removes a waiting call; false when there is none of this id.
auto removeCall(FairQueue&, const RequestId&) -> bool;

// Learns from a served call how fast the upstream works while `inFlight` calls run at once.
auto noteServed(FairQueue&, double tokens, double seconds, std::size_t inFlight) -> void;

// Returns how long a call that joins now would wait for its turn, in seconds.
auto estimatedWait(const FairQueue&, const QueuedCall&) -> double;

} // namespace marigoldladder
