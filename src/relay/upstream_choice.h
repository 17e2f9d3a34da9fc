// Chooses the upstream for a request. No input or output: a function of what is known and the clock.
#pragma once

#include "relay/upstream.h"

#include <string>
#include <vector>

namespace marigoldladder::relay {

// What a request needs of an upstream.
struct UpstreamNeeds {
    PoolName m_pool;
    std::string m_model; // Empty: none.
    std::string m_adapter; // `model/adapter`; empty: none.
    double m_tokens = 0; // Prompt and answer.
    std::vector<std::string> m_routeRegions; // Where the route may run; empty: anywhere.
    std::vector<std::string> m_organisationRegions; // Where the organisation's requests may run.
    DataCentreName m_dataCentre; // Where this node stands; near upstreams are preferred.
    std::vector<const Upstream*> m_tried; // Gets the request again only if it never ran there.
};

enum class ChoiceOutcome {
    Chosen,
    NoUpstream, // The pool has none that takes work.
    NotLoaded, // None of them has the model or the adapter.
    Loading, // One of them is loading the adapter.
    Full, // Those that could serve it have no room.
};

inline constexpr auto choiceOutcomeNames = std::array {
    EnumName<ChoiceOutcome> { ChoiceOutcome::Chosen, "chosen" },
    EnumName<ChoiceOutcome> { ChoiceOutcome::NoUpstream, "no_upstream" },
    EnumName<ChoiceOutcome> { ChoiceOutcome::NotLoaded, "not_loaded" },
    EnumName<ChoiceOutcome> { ChoiceOutcome::Loading, "loading" },
    EnumName<ChoiceOutcome> { ChoiceOutcome::Full, "full" },
};

struct UpstreamChoice {
    ChoiceOutcome m_outcome = ChoiceOutcome::NoUpstream;
    UpstreamPointer m_upstream; // Set if and only if one was chosen.
    MonotonicTime m_retryAt {}; // When another outcome is expected by time alone; zero: not known.
};

// What the choice knows beside the upstreams themselves.
struct ChoiceContext {
    const RoutingConfiguration* m_configuration = nullptr;
    const std::map<DataCentreName, std::string>* m_regions = nullptr; // Of data centres; null: not known.
    std::size_t m_nodes = 1; // That share what a cold upstream takes.
    MonotonicTime m_now {};
    bool m_smallFleet = true; // What peers have in flight is known as of a moment ago.
    std::uint64_t m_jitterSeed = 0; // Drawn anew for each choice, so that nodes don't all choose alike.
};

auto chooseUpstream(const UpstreamTable&, const UpstreamNeeds&, const ChoiceContext&) -> UpstreamChoice;

// Whether the upstream may get new requests at all: in the list, not leaving, data centre in service.
auto acceptsNewRequests(const UpstreamTable&, const Upstream&) -> bool;

// Returns the newest version announced of an adapter that all requests must run on by now, if any.
auto requiredVersion(const UpstreamTable&, const std::string& adapter, MonotonicTime now)
    -> std::optional<std::uint64_t>;

// Refills what this node may send to a cold upstream, and takes one request from it.
auto acquireColdAllowance(Upstream&, const Pool&, std::size_t nodes, MonotonicTime now) -> bool;

} // namespace marigoldladder::relay
