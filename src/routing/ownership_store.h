// Reads and writes leases and ownership records on the platform.
#pragma once

#include "objects/platform_client.h"
#include "routing/ownership.h"

#include <map>
#include <vector>

namespace marigoldladder {

// The ownership records of one data centre's upstreams, kept in one object.
struct OwnershipObject {
    ObjectVersion m_version = 0; // Zero: there is none yet.
    OwnershipRecords m_records;
};

using OwnershipObjects = std::map<DataCentreName, OwnershipObject>;

auto readOwnerships(PlatformClient&) -> Result<OwnershipObjects>;

// Writes the object if it is still as read; `Conflict` when another node changed it.
auto writeOwnerships(PlatformClient&, const DataCentreName&, const OwnershipObject&) -> Result<void>;

auto readLeases(PlatformClient&) -> Result<std::vector<LeaseRecord>>;

// Creates or renews the lease. Fails with `Conflict` when it was ended, or a later process of this VM
// holds it.
auto renewLease(PlatformClient&, const LeaseRecord&) -> Result<void>;

// Ends the lease for good, which says that the process uses no upstream any more. Does nothing when a later
// process of the VM holds it.
auto endLease(PlatformClient&, const NodeStart&) -> Result<void>;

} // namespace marigoldladder
