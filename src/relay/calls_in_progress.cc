#include "relay/calls_in_progress.h"

#include <utility>

namespace marigoldladder::relay {

CallInProgress::CallInProgress(std::list<CallInProgress*>& calls, std::string adapter,
    std::uint64_t statedVersion, tcp_stream& stream, const bool& answerBegan)
    : m_calls(calls)
    , m_entry(calls.insert(calls.end(), this))
    , m_adapter(std::move(adapter))
    , m_statedVersion(statedVersion)
    , m_stream(stream)
    , m_answerBegan(answerBegan)
{
}

CallInProgress::~CallInProgress()
{
    m_calls.erase(m_entry);
}

auto takeBackOutdated(const CallsInProgress& calls, const AdapterVersions& versions,
    const std::string& adapter, MonotonicTime now) -> void
{
    const auto lowest = lowestVersionAt(versions, adapter, now).value_or(0);
    for (auto* call : calls) {
        const auto mayBeginOutdated = call->m_adapter == adapter && call->m_statedVersion < lowest;
        // Bytes that have arrived but weren't read yet are an answer too.
        const auto isAnswered = call->m_isAnswered || call->m_answerBegan;
        if (!mayBeginOutdated || isAnswered || call->m_takenBack || !isIdle(call->m_stream.socket()))
            continue;
        call->m_takenBack = true;
        call->m_stream.close();
    }
}

} // namespace marigoldladder::relay
