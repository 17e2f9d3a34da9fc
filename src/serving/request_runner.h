// Runs one admitted request: tries upstreams in turn as far as that is safe.
#pragma once

#include "serving/stream_answer.h"

#include <memory>

namespace marigoldladder {

// A request that got its first answer event.
struct StartedAnswer {
    AnswerHead m_head;
    std::shared_ptr<StreamAnswer> m_answer; // Gives the rest. Letting go of it gives the request up.
};

// How often somebody who waits for an answer looks whether the caller is still there.
inline constexpr auto hangUpCheck = std::chrono::milliseconds(100);

class RequestRunner {
public:
    RequestRunner(Blackboard&, OwnerClient&, PoisonWatch&);

    // Tries the upstreams best first until one begins to answer. A request that may not be repeated is
    // tried again only after `NotRun`. Gives up when the caller hangs up.
    auto start(ServeCall, const PoolName&, MonotonicTime deadline) -> Result<StartedAnswer>;

private:
    RetryBudget m_retries;
    UpstreamChooser m_chooser;
    AnswerServices m_services;
};

} // namespace marigoldladder
