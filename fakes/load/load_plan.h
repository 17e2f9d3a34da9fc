// What a load run sends: groups of callers, each of one organisation, and their mix of requests.
#pragma once

#include "marigoldladder/ids.h"
#include "marigoldladder/settings.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace marigoldladder::fakes {

// How often a caller sends each kind of request, relative to the others.
struct RequestMix {
    double m_completions = 4;
    double m_streams = 4;
    double m_bookings = 1; // Non-idempotent calls of the route `appointments`.
    double m_lookups = 1; // Idempotent calls of the route `slots`.
};

struct CallerGroup {
    OrganisationName m_organisation;
    std::string m_key;
    DataCentreName m_dataCentre; // Where the callers stand: they prefer addresses there.
    std::size_t m_callers = 1;
    std::chrono::milliseconds m_meanThinkTime { 20 };
    int m_maxTokens = 8;
    std::string m_priority = "interactive";
    RequestMix m_mix;
};

struct LoadPlan {
    std::vector<Address> m_nodes; // Any of them is asked for addresses.
    std::vector<CallerGroup> m_groups;
    std::size_t m_adapters = 1; // Called adapter-0@1 and so on, the first ones most popular.
    double m_zipfExponent = 1.0;
    std::uint64_t m_seed = 1;
};

} // namespace marigoldladder::fakes
