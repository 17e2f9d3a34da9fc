// A request on its way from the entry role to an upstream's owner, and the answer on its way back.
#pragma once

#include "marigoldladder/ids.h"
#include "marigoldladder/verdict.h"
#include "wire/frame.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>

namespace marigoldladder {

// Interactive requests have a caller waiting; batch ones may wait longest.
enum class Priority {
    Interactive,
    Overnight,
    Batch,
};

inline constexpr auto priorityNames = std::array {
    EnumName<Priority> { Priority::Interactive, "interactive" },
    EnumName<Priority> { Priority::Overnight, "overnight" },
    EnumName<Priority> { Priority::Batch, "batch" },
};

struct ServeCall {
    RequestId m_requestId;
    OrganisationName m_organisation; // Empty on routes open to all.
    double m_weight = 1; // The organisation's weight in fair queueing.
    UpstreamName m_upstream;
    AdapterRef m_adapter; // Empty for plain services.
    std::string m_adapterPath;
    std::string m_method;
    std::string m_path;
    std::string m_contentType;
    std::string m_body;
    bool m_idempotent = false;
    IdempotencyKey m_idempotencyKey; // Empty for idempotent requests.
    bool m_stream = false;
    Priority m_priority = Priority::Interactive;
    std::chrono::milliseconds m_deadline {}; // Time left when the call was sent.
    double m_costTokens = 0;
    std::uint32_t m_resumeOffset = 0; // Stream events the caller already has.
    std::uint64_t m_fingerprint = 0; // Hash of adapter and body, the same for a request sent again.
    std::uint32_t m_attempt = 0; // How often the entry has tried this request before.
};

// Names one try of a request: owners tell a new try from a late or doubled frame of an earlier one by it.
// Upstreams and callers see the request's own id.
auto attemptId(const ServeCall&) -> RequestId;

struct AnswerHead {
    int m_status = 0;
    std::string m_contentType;
    UpstreamName m_upstream;
    AdapterRef m_adapter; // What answers; empty for plain services.
    std::string m_bootId; // Names the engine's run, where it tells; known to the owner only.
};

struct AnswerChunk {
    std::uint32_t m_offset = 0; // Position of the event in the stream; 0 for the only chunk of other answers.
    std::string m_data;
};

// The last event of an answer: complete, or cut short by the failure.
struct AnswerEnd {
    bool m_completed = false;
    Failure m_failure;
    double m_usedTokens = 0;
    bool m_ownerLost = false; // The connection to the owner was lost, which may not even have the call.
};

using AnswerEvent = std::variant<AnswerHead, AnswerChunk, AnswerEnd>;

// Takes an answer's events in order: one head, chunks, one end; or one end alone.
using AnswerSink = std::function<void(AnswerEvent)>;

auto encodeServeCall(const ServeCall&) -> wire::ServeRequestT;
auto decodeServeCall(const wire::ServeRequestT&) -> ServeCall;

// Writes an event as the envelope that carries it.
auto encodeAnswerEvent(std::uint64_t correlation, const AnswerEvent&) -> wire::EnvelopeT;

// Reads an event; nothing when the envelope carries none.
auto decodeAnswerEvent(const wire::EnvelopeT&) -> std::optional<AnswerEvent>;

// Makes the end of an answer that failed.
auto failedEnd(Failure) -> AnswerEnd;

} // namespace marigoldladder
