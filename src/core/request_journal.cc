#include "core/request_journal.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace marigoldladder {

auto addRecord(RequestJournal& journal, RequestRecord record) -> void
{
    journal.m_records.push_back(std::move(record));
    if (journal.m_records.size() > rememberedRequests)
        journal.m_records.pop_front();
}

auto findRecords(const RequestJournal& journal, const RequestId& id) -> std::vector<RequestRecord>
{
    auto found = std::vector<RequestRecord>();
    std::copy_if(journal.m_records.begin(), journal.m_records.end(), std::back_inserter(found),
        [&](const RequestRecord& record) { return record.m_id == id; });
    return found;
}

} // namespace marigoldladder
