// What became of the latest requests of this node, for operators who ask about one of them.
#pragma once

#include "marigoldladder/ids.h"
#include "marigoldladder/verdict.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace marigoldladder {

// Requests remembered by a node; the oldest are forgotten first.
inline constexpr auto rememberedRequests = std::size_t { 4096 };

// How one request ended. It holds no part of its body, nor a key.
struct RequestRecord {
    RequestId m_id;
    OrganisationName m_organisation; // Empty when it was refused before that was known, or open to all.
    std::string m_target; // The adapter, or the path of a service.
    UpstreamName m_upstream; // Empty when it reached none.
    std::optional<Failure> m_failure; // Nothing: it was answered whole.
    std::chrono::system_clock::time_point m_endedAt;
};

struct RequestJournal {
    std::deque<RequestRecord> m_records; // The latest at the back.
};

auto addRecord(RequestJournal&, RequestRecord) -> void;

// Returns the records of one request, oldest first.
auto findRecords(const RequestJournal&, const RequestId&) -> std::vector<RequestRecord>;

} // namespace marigoldladder
