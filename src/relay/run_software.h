// The software of runs of upstreams that no entry tells of yet.
//
// A stream that begins at such a run is bound to its software, whatever that is; an entry tells later.
#pragma once

#include "relay/upstream.h"

#include <cstdint>

namespace marigoldladder::relay {

// Stands for the software of a run of this upstream until an entry tells of that run. `startedAt` is in Unix
// milliseconds.
auto softwareOfRun(const UpstreamName&, std::uint64_t startedAt) -> SoftwareId;

// Returns the software for which the id stands by the entries there are now; the id itself if they don't say.
auto resolveSoftware(const UpstreamTable&, SoftwareId) -> SoftwareId;

} // namespace marigoldladder::relay
