// Chooses the upstream for a request: a function of the known state and the time, without I/O.
#pragma once

#include "relay/upstream.h"

#include <optional>
#include <string>
#include <vector>

namespace marigoldladder::relay {

// What a request needs of an upstream.
struct UpstreamNeeds {
    PoolName m_pool;
    std::string m_model; // Empty: none.
    std::string m_adapter; // `model/adapter`; empty: none.
    std::optional<SoftwareId> m_software; // That has begun the stream; empty: any may serve the request.
    double m_tokens = 0; // Of prompt and answer.
    std::vector<std::string> m_routeRegions; // Where the route may run; empty: anywhere.
    std::vector<std::string> m_organisationRegions; // Where the organisation's requests may run.
    DataCentreName m_dataCentre; // This node's; its upstreams are preferred.
    std::vector<std::shared_ptr<const Upstream>>
        m_tried; // Sent to already; chosen again only if no other can serve it.
};

enum class ChoiceOutcome {
    Chosen,
    NoUpstream, // The pool has none that accepts new requests in the allowed regions.
    Paused, // All of them have said that they want none for now, or not at this rate.
    NotLoaded, // None of them has the model or the adapter.
    Loading, // One of them is loading the adapter.
    Full, // Those that could serve it are at capacity.
};

inline constexpr auto choiceOutcomeNames = std::array {
    EnumName<ChoiceOutcome> { ChoiceOutcome::Chosen, "chosen" },
    EnumName<ChoiceOutcome> { ChoiceOutcome::NoUpstream, "no_upstream" },
    EnumName<ChoiceOutcome> { ChoiceOutcome::Paused, "paused" },
    EnumName<ChoiceOutcome> { ChoiceOutcome::NotLoaded, "not_loaded" },
    EnumName<ChoiceOutcome> { ChoiceOutcome::Loading, "loading" },
    EnumName<ChoiceOutcome> { ChoiceOutcome::Full, "full" },
};

struct UpstreamChoice {
    ChoiceOutcome m_outcome = ChoiceOutcome::NoUpstream;
    UpstreamPointer m_upstream; // Set if and only if one was chosen.
    MonotonicTime m_retryAt {}; // When the outcome may change by time alone; zero: unknown.
};

// What the choice depends on besides the upstreams themselves.
struct ChoiceContext {
    const RoutingConfiguration* m_configuration = nullptr;
    const std::map<DataCentreName, std::string>* m_regions = nullptr; // By data centre; null: unknown.
    std::size_t m_nodes = 1; // That share cold upstreams.
    MonotonicTime m_now {};
    bool m_smallFleet = true; // Peers' in-flight counts are recent.
    std::uint64_t m_jitterSeed = 0; // New for each choice, so that nodes choose differently.
};

// Whether a stream of this software may go on at the upstream, as far as is known before a connection is
// there.
auto runsSoftware(const Upstream&, SoftwareId) -> bool;

// Whether the request was sent to the upstream already.
auto wasTried(const UpstreamNeeds&, const Upstream&) -> bool;

auto chooseUpstream(const UpstreamTable&, UpstreamNeeds, const ChoiceContext&) -> UpstreamChoice;

// Whether the upstream gets no more than the rate of a cold one: it is cold, or may be.
auto isCold(const Upstream&, MonotonicTime now) -> bool;

// Returns when the upstream wants requests of this node again, by what it said itself; a time that isn't
// later than `now` if it wants them now.
auto wantsRequestsAt(const Upstream&, MonotonicTime now) -> MonotonicTime;

// Whether the upstream may get new requests at all: it is in the table, is not leaving, and its data centre
// is not evacuated.
auto acceptsNewRequests(const UpstreamTable&, const Upstream&) -> bool;

// Whether a request that the upstream was chosen for earlier may still be sent there now.
auto maySendTo(const UpstreamTable&, const Upstream&, MonotonicTime now) -> bool;

// Refills this node's allowance of requests to a cold upstream (a token bucket of one request) and charges
// one request to it. Returns false if it has none.
auto acquireColdAllowance(Upstream&, const Pool&, std::size_t nodes, MonotonicTime now) -> bool;

} // namespace marigoldladder::relay
