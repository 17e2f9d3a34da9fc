// Runs one admitted request: tries upstreams in turn as far as that is safe.
#pragma once

#include "limits/allowance.h"
#include "routing/owner_client.h"
#include "routing/upstream_choice.h"

#include <memory>
#include <vector>

namespace marigoldladder {

// A request that got its first answer event, or failed for good.
struct StartedAnswer {
    AnswerHead m_head;
    OwnedCall m_call; // Its stream carries the rest of the answer.
};

class RequestRunner {
public:
    RequestRunner(Blackboard&, OwnerClient&);

    // Tries the upstreams best first until one begins to answer. A request that may not be repeated is
    // tried again only after `NotRun`.
    auto start(ServeCall, const PoolName&, MonotonicTime deadline) -> Result<StartedAnswer>;

private:
    auto tryUpstream(const ServeCall&, MonotonicTime deadline) -> Result<StartedAnswer>;

    Blackboard& m_blackboard;
    OwnerClient& m_owners;
    UpstreamChooser m_chooser;
};

} // namespace marigoldladder
