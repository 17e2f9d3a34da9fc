#include "load/load_record.h"

#include <utility>

namespace marigoldladder::fakes {

auto toJson(const LoadRecord& record) -> nlohmann::json
{
    return {
        { "started_at_ms", record.m_startedAtMs },
        { "ended_at_ms", record.m_endedAtMs },
        { "kind", nameOf(requestKindNames, record.m_kind) },
        { "outcome", nameOf(outcomeNames, record.m_outcome) },
        { "organisation", record.m_organisation.value() },
        { "node", record.m_node },
        { "model", record.m_model },
        { "idempotency_key", record.m_idempotencyKey.value() },
        { "request_id", record.m_requestId.value() },
        { "status", record.m_status },
        { "verdict", record.m_verdict },
        { "message", record.m_message },
        { "first_token_ms", record.m_firstTokenMs },
        { "tokens", record.m_tokens },
    };
}

auto LoadLog::add(LoadRecord record) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_records.push_back(std::move(record));
}

auto LoadLog::copy() const -> std::vector<LoadRecord>
{
    const auto lock = std::lock_guard(m_mutex);
    return m_records;
}

} // namespace marigoldladder::fakes
