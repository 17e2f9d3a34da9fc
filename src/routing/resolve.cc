#include "routing/resolve.h"

namespace marigoldladder {

namespace {

    auto add(AttemptLog& log, const RequestId& id, AttemptState state, MonotonicTime now) -> void
    {
        log.m_states.emplace(id, state);
        log.m_order.push_back({ id, now });
        while (log.m_order.size() > log.m_bound) {
            log.m_forgottenUntil = log.m_order.front().m_enteredAt;
            log.m_states.erase(log.m_order.front().m_id);
            log.m_order.pop_front();
        }
    }

    // Whether a try that may still be under way can have been forgotten.
    auto mayHaveForgotten(const AttemptLog& log, MonotonicTime now) -> bool
    {
        return log.m_forgottenUntil != MonotonicTime() && now - log.m_forgottenUntil < longestAttempt;
    }

} // namespace

auto enterAttempt(AttemptLog& log, const RequestId& id, MonotonicTime now) -> std::optional<AttemptState>
{
    const auto found = log.m_states.find(id);
    if (found != log.m_states.end())
        return found->second;
    add(log, id, AttemptState::Waiting, now);
    return std::nullopt;
}

auto noteAttempt(AttemptLog& log, const RequestId& id, AttemptState state) -> void
{
    const auto found = log.m_states.find(id);
    if (found != log.m_states.end())
        found->second = state;
}

auto resolveAttempt(AttemptLog& log, const RequestId& id, MonotonicTime now) -> Verdict
{
    const auto found = log.m_states.find(id);
    if (found != log.m_states.end()) {
        const auto unrun = found->second == AttemptState::Dead || found->second == AttemptState::EndedNotRun;
        return unrun ? Verdict::NotRun : Verdict::MayHaveRun;
    }
    if (mayHaveForgotten(log, now))
        return Verdict::MayHaveRun;
    add(log, id, AttemptState::Dead, now);
    return Verdict::NotRun;
}

} // namespace marigoldladder
