// Keeps to the rate of requests that an upstream in need takes from all nodes together.
//
// Only a few nodes send requests to such an upstream, each its share of the rate. They are the first in an
// order that every node computes from the nodes' names, so nothing has to be agreed upon. How many they are
// follows from the rate: a share has to be large enough to be of use, and the nodes' single requests have to
// stay within the bound together.
//
// A limit ends only when an answer shows that the upstream names none any more. While no answer of it becomes
// known, for example because the senders get no requests for it, one more node after the other becomes a
// sender.
#pragma once

#include "relay/fleet_view.h"
#include "relay/report_source.h"

#include <optional>

namespace marigoldladder::relay {

// A limit that an upstream named, or that it no longer names one, as of an answer.
struct NamedLimit {
    std::optional<double> m_requestsPerSecond; // Nothing: no limit.
    // When the upstream named it, at the latest; or named none, at the earliest. Zero: never.
    MonotonicTime m_namedAt {};
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

// A limit without news for this time may have ended unnoticed.
inline constexpr auto limitNewsTimeout = std::chrono::milliseconds(10'000);

// Records the limit of an answer, unless a newer one is known; an answer without a limit counts only after
// one with a limit. Returns whether the limit begins, ends or changes notably.
auto recordLimit(LimitState&, const NamedLimit&) -> bool;

// Whether the upstream names a limit, as far as this node knows.
auto isLimited(const LimitState&) -> bool;

// Returns how many of the fleet's nodes may send requests to an upstream with this limit, of which the latest
// news is so old.
auto senderCount(double requestsPerSecond, std::size_t nodes, std::chrono::milliseconds age) -> std::size_t;

// Returns this node's share of an upstream's limit.
auto shareOf(const FleetView&, const VmName& self, const UpstreamName&, const NamedLimit&, MonotonicTime now)
    -> LimitShare;

// Returns when this node may send the upstream its next request: a time that isn't later than `now` if it may
// do so now, and the largest time if it isn't among the senders.
auto nextRequestAt(const LimitState&, MonotonicTime now) -> MonotonicTime;

// Charges a request that is sent while a limit is in force.
auto chargeRequest(LimitState&, MonotonicTime now) -> void;

} // namespace marigoldladder::relay
