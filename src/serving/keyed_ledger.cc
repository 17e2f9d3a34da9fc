#include "serving/keyed_ledger.h"

#include <algorithm>
#include <utility>

namespace marigoldladder {

namespace {

    auto refusal(Failure failure) -> KeyTurn
    {
        return { KeyTurnType::Refuse, false, nullptr, std::move(failure) };
    }

    auto forgotten() -> Failure
    {
        return mayHaveRun(FailureType::Conflict, "the idempotency key is older than what the node remembers");
    }

    auto answerDropped() -> Failure
    {
        return { FailureType::Conflict, Verdict::Ran, "the request ran; its answer is no longer kept", {} };
    }

} // namespace

KeyedLedger::KeyedLedger(LedgerBounds bounds)
    : m_bounds(bounds)
{
}

// Returns the key's entry once nothing runs under it; null when there is none. One that still runs at the
// deadline is returned as it is.
auto KeyedLedger::awaitEnd(std::unique_lock<std::mutex>& lock, const ScopedKey& key, MonotonicTime deadline)
    -> Entry*
{
    auto* entry = static_cast<Entry*>(nullptr);
    m_changed.wait_until(lock, deadline, [&] {
        const auto found = m_entries.find(key);
        entry = found == m_entries.end() ? nullptr : &found->second;
        return !entry || entry->m_state != KeyState::Running;
    });
    return entry;
}

auto KeyedLedger::turnFor(Entry& entry, std::uint64_t fingerprint) -> KeyTurn
{
    if (entry.m_fingerprint != fingerprint)
        return refusal(mayHaveRun(FailureType::Conflict, "the idempotency key was used for another request"));
    switch (entry.m_state) {
    case KeyState::Running:
        return refusal(mayHaveRun(FailureType::Conflict, "a request with this key is still running"));
    case KeyState::Doubtful:
        return refusal(mayHaveRun(FailureType::Conflict, "a request with this key may have run before"));
    case KeyState::Finished:
        if (!entry.m_answer)
            return refusal(answerDropped());
        return { KeyTurnType::Replay, false, entry.m_answer, {} };
    case KeyState::NotRun:
        break;
    }
    entry.m_state = KeyState::Running;
    return { KeyTurnType::Run, true, nullptr, {} };
}

auto KeyedLedger::begin(const ScopedKey& key, std::uint64_t fingerprint, std::optional<KeyEpoch> epoch,
    MonotonicTime deadline) -> KeyTurn
{
    auto lock = std::unique_lock(m_mutex);
    if (auto* entry = awaitEnd(lock, key, deadline))
        return turnFor(*entry, fingerprint);
    if (epoch && *epoch < m_firstEpoch)
        return refusal(forgotten());
    if (m_entries.size() >= m_bounds.m_maxKeys)
        return refusal(notRun(FailureType::Overloaded, "too many idempotency keys are remembered"));
    m_entries[key] = { KeyState::Running, fingerprint, nullptr };
    if (epoch)
        m_byEpoch[*epoch].push_back(key);
    return { KeyTurnType::Run, false, nullptr, {} };
}

auto KeyedLedger::lookUp(const ScopedKey& key, std::uint64_t fingerprint, MonotonicTime deadline) -> KeyTurn
{
    auto lock = std::unique_lock(m_mutex);
    if (auto* entry = awaitEnd(lock, key, deadline))
        return turnFor(*entry, fingerprint);
    return refusal(forgotten());
}

auto KeyedLedger::finish(const ScopedKey& key, const Result<KeptAnswer>& outcome) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    const auto found = m_entries.find(key);
    if (found == m_entries.end())
        return;
    auto& entry = found->second;
    if (outcome)
        keep(key, entry, outcome.value());
    else if (outcome.error().m_verdict == Verdict::NotRun)
        entry.m_state = KeyState::NotRun;
    else
        entry.m_state = outcome.error().m_verdict == Verdict::Ran ? KeyState::Finished : KeyState::Doubtful;
    m_changed.notify_all();
}

auto KeyedLedger::keep(const ScopedKey& key, Entry& entry, const KeptAnswer& answer) -> void
{
    entry.m_state = KeyState::Finished;
    if (answer.m_body.size() > m_bounds.m_maxOneAnswerBytes)
        return;
    entry.m_answer = std::make_shared<const KeptAnswer>(answer);
    m_kept.push_back(key);
    m_keptBytes += answer.m_body.size();
    while (m_keptBytes > m_bounds.m_maxAnswerBytes) {
        const auto oldest = m_entries.find(m_kept.front());
        m_kept.pop_front();
        if (oldest == m_entries.end() || !oldest->second.m_answer)
            continue;
        m_keptBytes -= oldest->second.m_answer->m_body.size();
        oldest->second.m_answer.reset();
    }
}

auto KeyedLedger::abandon(const ScopedKey& key) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_entries.erase(key);
    m_changed.notify_all();
}

auto KeyedLedger::forgetBefore(KeyEpoch epoch) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_firstEpoch = std::max(m_firstEpoch, epoch);
    const auto end = m_byEpoch.lower_bound(epoch);
    for (auto old = m_byEpoch.begin(); old != end; ++old) {
        for (const auto& key : old->second) {
            const auto found = m_entries.find(key);
            if (found == m_entries.end())
                continue;
            if (found->second.m_answer)
                m_keptBytes -= found->second.m_answer->m_body.size();
            m_entries.erase(found);
        }
    }
    m_byEpoch.erase(m_byEpoch.begin(), end);
}

} // namespace marigoldladder
