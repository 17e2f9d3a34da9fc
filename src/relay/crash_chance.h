// Tells suspects that crash upstreams during answers from those that met the crashes of others by chance.
#pragma once

#include "relay/crash_evidence.h"

namespace marigoldladder::relay {

// Whether a suspect would hardly have met as many crashes if they had another cause: whether requests that
// were at as many upstreams at once as it was would have. `suspects`: how many there are, any of which may
// meet crashes by chance.
auto isBeyondChance(const CrashEvidence&, const SuspectRecord&, std::size_t suspects, std::size_t upstreams)
    -> bool;

} // namespace marigoldladder::relay
