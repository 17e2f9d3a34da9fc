#include "routing/serve_call.h"

#include <utility>

namespace marigoldladder {

namespace {

    auto toBytes(const std::string& text) -> std::vector<std::uint8_t>
    {
        return { text.begin(), text.end() };
    }

    auto toText(const std::vector<std::uint8_t>& bytes) -> std::string
    {
        return { bytes.begin(), bytes.end() };
    }

    // Reads an enumeration value sent as its number; an unknown number gives the fallback.
    template <typename Enum, std::size_t size>
    auto decodeEnum(const std::array<EnumName<Enum>, size>& table, std::uint8_t number, Enum fallback) -> Enum
    {
        for (const auto& row : table) {
            if (static_cast<std::uint8_t>(row.m_value) == number)
                return row.m_value;
        }
        return fallback;
    }

    auto encode(std::uint64_t correlation, const AnswerHead& head) -> wire::EnvelopeT
    {
        auto message = wire::ServeHeadT();
        message.status = static_cast<std::uint16_t>(head.m_status);
        message.content_type = head.m_contentType;
        message.upstream = head.m_upstream.value();
        message.adapter = head.m_adapter.m_name.empty() ? "" : formatAdapterRef(head.m_adapter);
        return makeEnvelope(correlation, std::move(message));
    }

    auto encode(std::uint64_t correlation, const AnswerChunk& chunk) -> wire::EnvelopeT
    {
        auto message = wire::ServeChunkT();
        message.offset = chunk.m_offset;
        message.data = toBytes(chunk.m_data);
        return makeEnvelope(correlation, std::move(message));
    }

    auto encode(std::uint64_t correlation, const AnswerEnd& end) -> wire::EnvelopeT
    {
        auto message = wire::ServeEndT();
        message.completed = end.m_completed;
        message.failure_type = static_cast<std::uint8_t>(end.m_failure.m_type);
        message.verdict = static_cast<std::uint8_t>(end.m_failure.m_verdict);
        message.message = end.m_failure.m_message;
        message.retry_after_ms = static_cast<std::uint32_t>(end.m_failure.m_retryAfter.count());
        message.used_tokens = end.m_usedTokens;
        return makeEnvelope(correlation, std::move(message));
    }

    auto decode(const wire::ServeEndT& message) -> AnswerEnd
    {
        auto end = AnswerEnd();
        end.m_completed = message.completed;
        end.m_failure.m_type = decodeEnum(failureTypeNames, message.failure_type, FailureType::Internal);
        end.m_failure.m_verdict = decodeEnum(verdictNames, message.verdict, Verdict::MayHaveRun);
        end.m_failure.m_message = message.message;
        end.m_failure.m_retryAfter = std::chrono::milliseconds(message.retry_after_ms);
        end.m_usedTokens = message.used_tokens;
        return end;
    }

} // namespace

auto attemptId(const ServeCall& call) -> RequestId
{
    if (call.m_attempt == 0)
        return call.m_requestId;
    return RequestId(call.m_requestId.value() + "#" + std::to_string(call.m_attempt));
}

auto encodeServeCall(const ServeCall& call) -> wire::ServeRequestT
{
    auto message = wire::ServeRequestT();
    message.request_id = call.m_requestId.value();
    message.organisation = call.m_organisation.value();
    message.weight = call.m_weight;
    message.upstream = call.m_upstream.value();
    message.adapter_name = call.m_adapter.m_name;
    message.adapter_version = call.m_adapter.m_version;
    message.adapter_path = call.m_adapterPath;
    message.method = call.m_method;
    message.path = call.m_path;
    message.content_type = call.m_contentType;
    message.body = toBytes(call.m_body);
    message.idempotent = call.m_idempotent;
    message.idempotency_key = call.m_idempotencyKey.value();
    message.stream = call.m_stream;
    message.priority = static_cast<std::uint8_t>(call.m_priority);
    message.deadline_ms = static_cast<std::uint32_t>(call.m_deadline.count());
    message.cost_tokens = call.m_costTokens;
    message.resume_offset = call.m_resumeOffset;
    message.fingerprint = call.m_fingerprint;
    message.attempt = call.m_attempt;
    return message;
}

auto decodeServeCall(const wire::ServeRequestT& message) -> ServeCall
{
    auto call = ServeCall();
    call.m_requestId = RequestId(message.request_id);
    call.m_organisation = OrganisationName(message.organisation);
    call.m_weight = message.weight;
    call.m_upstream = UpstreamName(message.upstream);
    call.m_adapter = { message.adapter_name, message.adapter_version };
    call.m_adapterPath = message.adapter_path;
    call.m_method = message.method;
    call.m_path = message.path;
    call.m_contentType = message.content_type;
    call.m_body = toText(message.body);
    call.m_idempotent = message.idempotent;
    call.m_idempotencyKey = IdempotencyKey(message.idempotency_key);
    call.m_stream = message.stream;
    call.m_priority = decodeEnum(priorityNames, message.priority, Priority::Batch);
    call.m_deadline = std::chrono::milliseconds(message.deadline_ms);
    call.m_costTokens = message.cost_tokens;
    call.m_resumeOffset = message.resume_offset;
    call.m_fingerprint = message.fingerprint;
    call.m_attempt = message.attempt;
    return call;
}

auto encodeAnswerEvent(std::uint64_t correlation, const AnswerEvent& event) -> wire::EnvelopeT
{
    return std::visit([&](const auto& value) { return encode(correlation, value); }, event);
}

auto decodeAnswerEvent(const wire::EnvelopeT& envelope) -> std::optional<AnswerEvent>
{
    if (const auto* head = envelope.body.AsServeHead())
        return AnswerHead { head->status, head->content_type, UpstreamName(head->upstream),
            parseAdapterRef(head->adapter).value_or(AdapterRef {}), {} };
    if (const auto* chunk = envelope.body.AsServeChunk())
        return AnswerChunk { chunk->offset, toText(chunk->data) };
    if (const auto* end = envelope.body.AsServeEnd())
        return decode(*end);
    return std::nullopt;
}

auto failedEnd(Failure failure) -> AnswerEnd
{
    return AnswerEnd { false, std::move(failure), 0, false };
}

} // namespace marigoldladder
