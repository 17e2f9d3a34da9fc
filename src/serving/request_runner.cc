#include "serving/request_runner.h"

#include "objects/bounded_server.h"

#include <utility>

namespace marigoldladder {

RequestRunner::RequestRunner(Blackboard& blackboard, OwnerClient& owners, PoisonWatch& poison)
    : m_chooser(blackboard)
    , m_services { blackboard, owners, poison, m_retries, m_chooser }
{
}

auto RequestRunner::start(ServeCall call, const PoolName& pool, MonotonicTime deadline)
    -> Result<StartedAnswer>
{
    const auto mayGiveUp = call.m_idempotent;
    auto answer = std::make_shared<StreamAnswer>(m_services, std::move(call), pool, deadline);
    while (true) {
        const auto event = answer->next(std::chrono::steady_clock::now() + hangUpCheck);
        if (event) {
            if (const auto* head = std::get_if<AnswerHead>(&*event))
                return StartedAnswer { *head, std::move(answer) };
            return std::get<AnswerEnd>(*event).m_failure;
        }
        if (mayGiveUp && callerHungUp())
            return mayHaveRun(FailureType::UpstreamFailed, "the caller hung up");
    }
}

} // namespace marigoldladder
