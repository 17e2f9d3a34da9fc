#include "serving/keyed_call.h"

#include "serving/admission.h"
#include "serving/keyed_service.h"

#include <algorithm>
#include <utility>

namespace marigoldladder {

auto encodeKeyedCall(const KeyedRequest& request, MonotonicTime deadline) -> wire::KeyedCallT
{
    const auto& call = request.m_call;
    const auto left
        = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
    auto message = wire::KeyedCallT();
    message.request_id = call.m_requestId.value();
    message.organisation = call.m_organisation.value();
    message.route = request.m_route.value();
    message.method = call.m_method;
    message.path = call.m_path;
    message.content_type = call.m_contentType;
    message.body.assign(call.m_body.begin(), call.m_body.end());
    message.idempotency_key = call.m_idempotencyKey.value();
    message.deadline_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(0, left.count()));
    return message;
}

auto decodeKeyedCall(const wire::KeyedCallT& message) -> KeyedRequest
{
    auto request = KeyedRequest();
    request.m_route = RouteName(message.route);
    auto& call = request.m_call;
    call.m_requestId = RequestId(message.request_id);
    call.m_organisation = OrganisationName(message.organisation);
    call.m_method = message.method;
    call.m_path = message.path;
    call.m_contentType = message.content_type;
    call.m_body.assign(message.body.begin(), message.body.end());
    call.m_idempotencyKey = IdempotencyKey(message.idempotency_key);
    call.m_fingerprint = serviceFingerprint(call.m_method, call.m_path, call.m_body);
    return request;
}

auto sendAnswer(PeerConnection& connection, std::uint64_t correlation, const Result<KeptAnswer>& answer)
    -> void
{
    if (!answer) {
        connection.send(encodeAnswerEvent(correlation, failedEnd(answer.error())));
        return;
    }
    const auto& kept = answer.value();
    auto head = AnswerHead();
    head.m_status = kept.m_status;
    head.m_contentType = kept.m_contentType;
    head.m_upstream = kept.m_upstream;
    connection.send(encodeAnswerEvent(correlation, std::move(head)));
    connection.send(encodeAnswerEvent(correlation, AnswerChunk { 0, kept.m_body }));
    connection.send(encodeAnswerEvent(correlation, AnswerEnd { true, {}, 0 }));
}

auto collectAnswer(const NextEvent& next, KeptAnswer begun, MonotonicTime deadline) -> Result<KeptAnswer>
{
    while (auto event = next(deadline)) {
        if (const auto* end = std::get_if<AnswerEnd>(&*event))
            return end->m_completed ? Result<KeptAnswer>(std::move(begun)) : end->m_failure;
        if (const auto* head = std::get_if<AnswerHead>(&*event)) {
            begun.m_status = head->m_status;
            begun.m_contentType = head->m_contentType;
            begun.m_upstream = head->m_upstream;
        }
        if (const auto* chunk = std::get_if<AnswerChunk>(&*event))
            begun.m_body += chunk->m_data;
    }
    return mayHaveRun(FailureType::DeadlineExceeded, "the answer was not complete in time");
}

} // namespace marigoldladder
