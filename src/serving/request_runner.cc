#include "serving/request_runner.h"

#include <algorithm>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto maxAttempts = std::size_t { 3 };

    // Where requests for the same adapter should meet; calls of plain services spread by their id.
    auto affinityKey(const ServeCall& call) -> std::string
    {
        return call.m_adapter.m_name.empty() ? call.m_requestId.value() : formatAdapterRef(call.m_adapter);
    }

    auto mayTryAgain(const ServeCall& call, const Failure& failure) -> bool
    {
        const auto refused = failure.m_type == FailureType::BadRequest;
        return !refused && (failure.m_verdict == Verdict::NotRun || call.m_idempotent);
    }

} // namespace

RequestRunner::RequestRunner(Blackboard& blackboard, OwnerClient& owners)
    : m_blackboard(blackboard)
    , m_owners(owners)
    , m_chooser(blackboard)
{
}

auto RequestRunner::start(ServeCall call, const PoolName& pool, MonotonicTime deadline)
    -> Result<StartedAnswer>
{
    const auto ranked = m_chooser.choose(pool, affinityKey(call));
    auto last
        = notRun(FailureType::Unavailable, "no upstream of the pool " + pool.value() + " is in service");
    for (auto i = std::size_t { 0 }; i < std::min(maxAttempts, ranked.size()); ++i) {
        if (i > 0)
            m_blackboard.m_metrics.add(Counter::RequestsRetried);
        call.m_upstream = ranked[i];
        auto started = tryUpstream(call, deadline);
        if (started)
            return started;
        last = started.error();
        if (!mayTryAgain(call, last) || std::chrono::steady_clock::now() >= deadline)
            break;
    }
    return last;
}

auto RequestRunner::tryUpstream(const ServeCall& call, MonotonicTime deadline) -> Result<StartedAnswer>
{
    auto timed = call;
    const auto left = deadline - std::chrono::steady_clock::now();
    timed.m_deadline = std::chrono::duration_cast<std::chrono::milliseconds>(left);
    auto owned = m_owners.start(timed);
    if (!owned)
        return owned.error();
    const auto first = owned.value().m_answer->pop(deadline);
    if (!first) {
        owned.value().m_cancel();
        return mayHaveRun(FailureType::DeadlineExceeded, "no answer in time");
    }
    if (const auto* end = std::get_if<AnswerEnd>(&*first))
        return end->m_failure;
    return StartedAnswer { std::get<AnswerHead>(*first), std::move(owned.value()) };
}

} // namespace marigoldladder
