// A summary of a load run that a person can read: outcomes and times for each organisation.
#pragma once

#include "load/load_record.h"

#include <iosfwd>
#include <map>

namespace marigoldladder::fakes {

struct OrganisationSummary {
    std::size_t m_sent = 0;
    std::size_t m_served = 0;
    std::map<std::string, std::size_t> m_refusedByVerdict;
    std::size_t m_cut = 0;
    std::size_t m_lost = 0;
    std::size_t m_unconnected = 0;
    std::size_t m_wrong = 0;
    std::vector<double> m_firstTokenMs; // Sorted.
    std::vector<double> m_betweenTokensMs; // Sorted.
};

// Returns the value below which the given share of the sorted values lies; 0 when there are none.
auto quantileOf(const std::vector<double>& sorted, double share) -> double;

auto summarise(const std::vector<LoadRecord>&) -> std::map<OrganisationName, OrganisationSummary>;

// Prints one line for each organisation, with a heading.
auto printSummary(std::ostream&, const std::map<OrganisationName, OrganisationSummary>&) -> void;

} // namespace marigoldladder::fakes
