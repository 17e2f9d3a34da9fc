// Keeps to the rate of requests that an upstream in need takes from all nodes together.
//
// Only a few nodes send requests to such an upstream, each its share of the rate. They are the first in an
// order that every node computes from the nodes' names, so nothing has to be agreed upon. How many they are
// follows from the rate: a share has to be large enough to be of use, and the nodes' single requests have to
// stay within the bound together.
#pragma once

#include "relay/fleet_view.h"
#include "relay/report_source.h"

#include <optional>

namespace marigoldladder::relay {

// A limit that an upstream named, or that it no longer names one, as of an answer.
struct NamedLimit {
    std::optional<double> m_requestsPerSecond; // Nothing: no limit.
    MonotonicTime m_namedAt {}; // When the answer arrived at this or another node; zero: never.
    ReportSource m_source = ReportSource::Self;
};

// This node's share of a limit.
struct LimitShare {
    double m_requestsPerSecond = 0;
    bool m_isSender = false; // It may send requests to the upstream.
};

// This node's part in keeping an upstream's limit.
struct LimitState {
    NamedLimit m_limit;
    LimitShare m_share; // As of the last update.
    double m_requests = 0; // That this node could send when they were refilled; at most one.
    MonotonicTime m_refilledAt {};
};

// Without news on a limit for this time, it no longer holds: the upstream gets requests again, and their
// answers tell.
inline constexpr auto limitLifetime = std::chrono::milliseconds(10'000);

// Records the limit of an answer, unless a newer one is known; an answer without a limit counts only after
// one with a limit. Returns whether the limit begins, ends or changes
// notably.
auto recordLimit(LimitState&, const NamedLimit&) -> bool;

// Returns the limit in force.
auto limitInForce(const LimitState&, MonotonicTime now) -> std::optional<double>;

// Returns how many of the fleet's nodes may send requests to an upstream with this limit.
auto senderCount(double requestsPerSecond, std::size_t nodes) -> std::size_t;

// Returns this node's share of an upstream's limit.
auto shareOf(const FleetView&, const VmName& self, const UpstreamName&, double requestsPerSecond,
    MonotonicTime now) -> LimitShare;

// Returns when this node may send the upstream its next request: a time that isn't later than `now` if it may
// do so now, and the end of the limit's lifetime if it isn't among the senders.
auto nextRequestAt(const LimitState&, MonotonicTime now) -> MonotonicTime;

// Charges a request that is sent while a limit is in force.
auto chargeRequest(LimitState&, MonotonicTime now) -> void;

} // namespace marigoldladder::relay
