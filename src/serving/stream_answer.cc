#include "serving/stream_answer.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto streamDone = std::string_view("data: [DONE]");
    constexpr auto maxFailuresUnanswered = std::uint32_t { 6 }; // Before the answer began.
    constexpr auto maxTries = std::uint32_t { 40 };
    constexpr auto firstPause = std::chrono::milliseconds(20); // Once all upstreams have been tried.
    // An owner refuses a queued call this much before the deadline, so that its proof that nothing ran
    // reaches the caller in time.
    constexpr auto refusalTravel = std::chrono::milliseconds(200);
    constexpr auto shortestDeadline = std::chrono::milliseconds(1);
    constexpr auto handOverPause = std::chrono::milliseconds(150); // Until the next owner is known.
    constexpr auto longestPause = std::chrono::milliseconds(500);

    auto now() -> MonotonicTime
    {
        return std::chrono::steady_clock::now();
    }

    // Where requests for the same adapter should meet; calls of plain services spread by their id.
    auto affinityKey(const ServeCall& call) -> std::string
    {
        return call.m_adapter.m_name.empty() ? call.m_requestId.value() : formatAdapterRef(call.m_adapter);
    }

    auto noUpstream(const PoolName& pool) -> AnswerEnd
    {
        return failedEnd(
            notRun(FailureType::Unavailable, "no upstream of the pool " + pool.value() + " is in service"));
    }

    auto crashedUpstreams() -> AnswerEnd
    {
        auto failure = notRun(
            FailureType::UpstreamFailed, "upstreams crashed under this request; it is refused for now");
        failure.m_retryAfter = refusalTime;
        return failedEnd(std::move(failure));
    }

} // namespace

StreamAnswer::StreamAnswer(
    const AnswerServices& services, ServeCall call, PoolName pool, MonotonicTime deadline)
    : m_services(services)
    , m_call(std::move(call))
    , m_pool(std::move(pool))
    , m_deadline(deadline)
{
}

StreamAnswer::~StreamAnswer()
{
    if (!m_end)
        giveUpTry();
}

auto StreamAnswer::giveUpTry() -> void
{
    if (m_try)
        m_try->m_cancel();
    m_try.reset();
}

auto StreamAnswer::next(MonotonicTime until) -> std::optional<AnswerEvent>
{
    while (!m_end) {
        if (now() >= m_deadline)
            return finish(failedEnd(mayHaveRun(FailureType::DeadlineExceeded, "no answer in time")));
        if (!m_try && now() < m_nextTryAt) {
            std::this_thread::sleep_until(std::min({ m_nextTryAt, until, m_deadline }));
            if (now() >= until)
                return std::nullopt;
            continue;
        }
        if (!m_try)
            startTry();
        if (!m_try)
            continue;
        auto event = m_try->m_answer->pop(std::min(until, m_deadline));
        if (!event && now() < m_deadline)
            return std::nullopt;
        if (auto passed = event ? judge(std::move(*event)) : std::nullopt)
            return passed;
    }
    return *m_end;
}

auto StreamAnswer::startTry() -> void
{
    if (m_services.m_poison.stateOf(m_call.m_fingerprint) == PoisonState::Refused) {
        m_services.m_blackboard.m_metrics.add(Counter::PoisonRefusals);
        finish(crashedUpstreams());
        return;
    }
    const auto upstream = chooseUpstream();
    if (!upstream.empty())
        startAt(upstream);
    else
        (void)judgeFailure(noUpstream(m_pool));
}

auto StreamAnswer::startAt(const UpstreamName& upstream) -> void
{
    if (m_tries > 0)
        m_services.m_blackboard.m_metrics.add(
            m_headPassed ? Counter::StreamsResumed : Counter::RequestsRetried);
    m_call.m_upstream = upstream;
    m_call.m_attempt = m_tries++;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - now());
    m_call.m_deadline = std::max(shortestDeadline, left - refusalTravel);
    auto started = m_services.m_owners.start(m_call);
    if (started)
        m_try = std::move(started.value());
    else
        (void)judgeFailure(failedEnd(started.error()));
}

auto StreamAnswer::chooseUpstream() -> UpstreamName
{
    const auto key = affinityKey(m_call);
    const auto ranked = m_tries == 0 ? m_services.m_chooser.choose(m_pool, key)
                                     : m_services.m_chooser.rank(m_pool, key, m_failed.size());
    const auto same = std::find(ranked.begin(), ranked.end(), m_call.m_upstream);
    if (std::exchange(m_sameUpstream, false) && same != ranked.end())
        return *same;
    const auto isOpen = [&](const UpstreamName& name) { return !m_failed.contains(name); };
    const auto open = std::find_if(ranked.begin(), ranked.end(), isOpen);
    if (open != ranked.end())
        return *open;
    m_failed.clear();
    return ranked.empty() ? UpstreamName() : ranked.front();
}

auto StreamAnswer::judge(AnswerEvent event) -> std::optional<AnswerEvent>
{
    if (auto* head = std::get_if<AnswerHead>(&event))
        return judgeHead(std::move(*head));
    if (auto* chunk = std::get_if<AnswerChunk>(&event))
        return judgeChunk(std::move(*chunk));
    auto& end = std::get<AnswerEnd>(event);
    return end.m_completed ? finish(std::move(end)) : judgeFailure(std::move(end));
}

auto StreamAnswer::drop() -> void
{
    m_services.m_blackboard.m_metrics.add(Counter::AnswersDropped);
}

auto StreamAnswer::judgeHead(AnswerHead head) -> std::optional<AnswerEvent>
{
    if (head.m_adapter != m_call.m_adapter || head.m_upstream != m_call.m_upstream) {
        drop();
        return judgeFailure(failedEnd(mayHaveRun(FailureType::UpstreamFailed, "another request's answer")));
    }
    if (std::exchange(m_headPassed, true))
        return std::nullopt;
    return head;
}

auto StreamAnswer::judgeChunk(AnswerChunk chunk) -> std::optional<AnswerEvent>
{
    if (chunk.m_offset < m_call.m_resumeOffset) {
        drop();
        return std::nullopt;
    }
    if (chunk.m_offset > m_call.m_resumeOffset) {
        drop();
        return judgeFailure(
            failedEnd(mayHaveRun(FailureType::UpstreamFailed, "part of the answer was lost")));
    }
    ++m_call.m_resumeOffset;
    m_complete = !m_call.m_stream || chunk.m_data.starts_with(streamDone);
    return chunk;
}

auto StreamAnswer::judgeFailure(AnswerEnd end) -> std::optional<AnswerEvent>
{
    if (end.m_ownerLost && m_try && !m_call.m_idempotent)
        end.m_failure.m_verdict = m_try->m_resolve();
    giveUpTry();
    if (m_complete)
        return finish({ true, {}, m_call.m_costTokens, false }); // Only the note of its end was lost.
    m_mayHaveRun = m_mayHaveRun || end.m_failure.m_verdict != Verdict::NotRun;
    if (end.m_failure.m_type != FailureType::NotOwner)
        ++m_failures;
    if (!mayTryAgain(end.m_failure))
        return finish(std::move(end));
    planNextTry(end.m_failure);
    if (m_nextTryAt + refusalTravel >= m_deadline)
        return finish(std::move(end)); // Its verdict is known; that of a further try would come too late.
    return std::nullopt;
}

auto StreamAnswer::mayTryAgain(const Failure& failure) -> bool
{
    if (failure.m_type == FailureType::BadRequest || m_tries >= maxTries || now() >= m_deadline)
        return false;
    if (failure.m_verdict != Verdict::NotRun && !m_call.m_idempotent)
        return false;
    // An answer that began is finished at any price: it was admitted once and would be cut. One that met
    // a change of owners has cost no upstream anything.
    if (m_headPassed || failure.m_type == FailureType::NotOwner)
        return true;
    return m_failures < maxFailuresUnanswered && m_services.m_retries.takeRetry();
}

auto StreamAnswer::planNextTry(const Failure& failure) -> void
{
    const auto ownerChanges = failure.m_type == FailureType::NotOwner;
    const auto connectionLost = failure.m_type == FailureType::UpstreamFailed;
    m_sameUpstream = (connectionLost || ownerChanges) && m_triedTwice.insert(m_call.m_upstream).second;
    if (m_sameUpstream) {
        m_nextTryAt = now() + (ownerChanges ? handOverPause : std::chrono::milliseconds(0));
        return;
    }
    m_failed.insert(m_call.m_upstream);
    if (failure.m_verdict == Verdict::NotRun && !ownerChanges && !m_call.m_adapter.m_name.empty())
        m_services.m_chooser.noteRefusal(affinityKey(m_call), m_call.m_upstream);
    const auto doublings = std::min(m_tries, 6U);
    const auto pause = std::min(longestPause, firstPause * (1U << doublings));
    const auto drawn = std::uniform_int_distribution<std::int64_t>(0, pause.count())(m_random);
    m_nextTryAt = now() + std::chrono::milliseconds(m_tries > 1 ? drawn : 0);
}

auto StreamAnswer::finish(AnswerEnd end) -> AnswerEvent
{
    giveUpTry();
    if (end.m_completed)
        m_services.m_retries.noteSuccess();
    else if (m_mayHaveRun && end.m_failure.m_verdict == Verdict::NotRun)
        end.m_failure.m_verdict = Verdict::MayHaveRun; // True of the last try only.
    m_end = end;
    return end;
}

} // namespace marigoldladder
