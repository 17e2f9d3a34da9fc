// Which upstreams may serve a request, best first.
#pragma once

#include "core/blackboard.h"

#include <string_view>
#include <vector>

namespace marigoldladder {

// Ranks the pool's upstreams for the affinity key (an adapter, or a request id where none matters).
// Upstreams that are leaving, or whose data centre or VM is out, are left out.
auto rankUpstreams(const UpstreamTable&, const Configuration&, const PoolName&, std::string_view affinityKey)
    -> std::vector<UpstreamName>;

} // namespace marigoldladder
