// Which nodes a caller is told to use.
//
// Callers keep the answer for its time to live and choose among its addresses themselves, so the answer is
// where load is spread: over nodes by their requests in flight, and over organisations by giving each a
// small set of nodes of its own (shuffle sharding), so that what one does to its nodes touches few others.
#pragma once

#include "core/blackboard.h"
#include "serving/idempotency.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace marigoldladder {

// The most addresses in one answer.
inline constexpr auto maxNamedAddresses = std::size_t { 8 };

// How long a caller may use an answer. A leaving node serves at least that long after its last naming.
inline constexpr auto addressTimeToLive = std::chrono::milliseconds(2000);

struct NamedAddress {
    VmName m_vm;
    Incarnation m_incarnation = 0;
    DataCentreName m_dataCentre;
    Address m_address;
};

struct AddressAnswer {
    std::chrono::milliseconds m_timeToLive = addressTimeToLive;
    std::vector<NamedAddress> m_addresses; // The least loaded first.
};

// Who asks for addresses.
struct AddressQuestion {
    OrganisationName m_organisation; // Empty for callers without a key.
    std::uint64_t m_seed = 0; // Differs from question to question; orders nodes of equal load.
};

// Chooses among the nodes that are alive, were heard of and are not out of service. In a large fleet an
// organisation gets the least loaded nodes of its own set, and no data centre has more than half of the
// answer while another could fill it. Loads are the requests in flight that the members last told.
auto chooseAddresses(const Membership&, const Configuration&, const AddressQuestion&) -> AddressAnswer;

// Writes the answer as the interface's JSON, with the prefix for keys bound to each node's incarnation.
auto formatAddressAnswer(const AddressAnswer&, KeyEpoch) -> std::string;

} // namespace marigoldladder
