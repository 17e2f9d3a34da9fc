// What a caller noted of each of its requests; checkers compare it with the upstreams' own records.
#pragma once

#include "marigoldladder/enum_names.h"
#include "marigoldladder/ids.h"

#include <cstdint>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace marigoldladder::fakes {

enum class RequestKind {
    Completion,
    Stream,
    Booking,
    Lookup,
};

inline constexpr auto requestKindNames = std::array {
    EnumName<RequestKind> { RequestKind::Completion, "completion" },
    EnumName<RequestKind> { RequestKind::Stream, "stream" },
    EnumName<RequestKind> { RequestKind::Booking, "booking" },
    EnumName<RequestKind> { RequestKind::Lookup, "lookup" },
};

enum class Outcome {
    Served, // Whole and right.
    Refused, // An error answer with a verdict.
    Cut, // The answer broke off without the interface's error.
    Lost, // No answer at all.
    Unconnected, // The address could not be connected to, so nothing was sent; another one is tried.
    Wrong, // Somebody else's answer, or tokens missing, doubled or changed.
};

inline constexpr auto outcomeNames = std::array {
    EnumName<Outcome> { Outcome::Served, "served" },
    EnumName<Outcome> { Outcome::Refused, "refused" },
    EnumName<Outcome> { Outcome::Cut, "cut" },
    EnumName<Outcome> { Outcome::Lost, "lost" },
    EnumName<Outcome> { Outcome::Unconnected, "unconnected" },
    EnumName<Outcome> { Outcome::Wrong, "wrong" },
};

struct LoadRecord {
    std::int64_t m_startedAtMs = 0; // Time of day, milliseconds since 1970.
    std::int64_t m_endedAtMs = 0;
    RequestKind m_kind = RequestKind::Completion;
    Outcome m_outcome = Outcome::Lost;
    OrganisationName m_organisation;
    std::string m_key; // The key that came with it; kept here only, never sent to an upstream.
    std::string m_node; // The address that the caller used.
    std::string m_model; // Empty for services.
    IdempotencyKey m_idempotencyKey;
    RequestId m_requestId;
    int m_status = 0;
    std::string m_verdict; // Of a refusal.
    std::string m_message; // Of a refusal, or what was wrong.
    double m_firstTokenMs = 0;
    std::vector<double> m_betweenTokensMs;
    double m_tokens = 0; // Estimated prompt plus generated tokens, as they are charged.
};

// Writes a record as one JSON object.
auto toJson(const LoadRecord&) -> nlohmann::json;

// Records of all callers of a run. Thread-safe.
class LoadLog {
public:
    auto add(LoadRecord) -> void;
    auto copy() const -> std::vector<LoadRecord>;

private:
    mutable std::mutex m_mutex;
    std::vector<LoadRecord> m_records;
};

} // namespace marigoldladder::fakes
