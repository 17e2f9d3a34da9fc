#include "routing/upstream_client.h"

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto connectTimeout = std::chrono::milliseconds(500);
    constexpr auto statusOk = 200;
    constexpr auto statusNotFound = 404;
    constexpr auto statusServerError = 500;
    constexpr auto eventPrefix = std::string_view("data: ");
    constexpr auto eventEnd = std::string_view("\n\n");
    constexpr auto streamDone = std::string_view("[DONE]");

    auto makeClient(const Upstream& upstream, std::chrono::milliseconds timeout) -> httplib::Client
    {
        auto client = httplib::Client(upstream.m_address.m_host, upstream.m_address.m_port);
        client.set_tcp_nodelay(true);
        client.set_connection_timeout(connectTimeout);
        client.set_read_timeout(timeout);
        client.set_write_timeout(timeout);
        return client;
    }

    auto failureOf(httplib::Error error) -> Failure
    {
        if (error == httplib::Error::Connection)
            return notRun(FailureType::Unavailable, "the upstream can't be reached");
        return mayHaveRun(FailureType::UpstreamFailed, "the upstream's answer was lost");
    }

    // Checks that an answer's JSON is for this request: engines repeat adapter and request id.
    auto belongsTo(const ServeCall& call, const nlohmann::json& answer) -> bool
    {
        return answer.value("model", "") == formatAdapterRef(call.m_adapter)
            && answer.value("id", "") == call.m_requestId.value();
    }

    // Receives one answer and passes it on, event by event when it is a stream.
    class AnswerReader {
    public:
        AnswerReader(
            const Upstream& upstream, const ServeCall& call, Metrics& metrics, const AnswerSink& sink)
            : m_upstream(upstream)
            , m_call(call)
            , m_metrics(metrics)
            , m_sink(sink)
            , m_offset(call.m_resumeOffset)
        {
        }

        auto takeHead(const httplib::Response& response) -> bool
        {
            m_status = response.status;
            m_contentType = response.get_header_value("Content-Type");
            m_isStream = m_call.m_stream && m_status == statusOk;
            if (m_isStream)
                passHead();
            return true;
        }

        auto takeBytes(const char* data, std::size_t size) -> bool
        {
            m_pending.append(data, size);
            if (!m_isStream)
                return true;
            for (auto end = m_pending.find(eventEnd); end != std::string::npos;
                 end = m_pending.find(eventEnd)) {
                auto event = m_pending.substr(0, end + eventEnd.size());
                m_pending.erase(0, end + eventEnd.size());
                takeEvent(std::move(event));
            }
            return true;
        }

        // Returns the last event of an answer received to its end.
        auto finish() -> AnswerEnd
        {
            if (m_isStream)
                return m_done ? AnswerEnd { true, {}, m_usedTokens } : failedEnd(streamCut());
            if (m_call.m_adapter.m_name.empty())
                return passWhole(m_call.m_costTokens);
            return finishCompletion();
        }

        auto failure(httplib::Error error) const -> Failure
        {
            return m_status == 0 ? failureOf(error) : streamCut();
        }

    private:
        static auto streamCut() -> Failure
        {
            return mayHaveRun(FailureType::UpstreamFailed, "the upstream's answer was cut short");
        }

        auto passHead() -> void { m_sink(AnswerHead { m_status, m_contentType, m_upstream.m_name }); }

        auto passWhole(double usedTokens) -> AnswerEnd
        {
            passHead();
            m_sink(AnswerChunk { 0, std::move(m_pending) });
            return AnswerEnd { true, {}, usedTokens };
        }

        auto takeEvent(std::string event) -> void
        {
            const auto payload = std::string_view(event).substr(std::min(event.size(), eventPrefix.size()));
            if (payload.starts_with(streamDone)) {
                m_done = true;
                m_sink(AnswerChunk { m_offset, std::move(event) });
                return;
            }
            const auto json = nlohmann::json::parse(payload, nullptr, false);
            if (json.is_discarded() || !belongsTo(m_call, json)) {
                m_metrics.add(Counter::AnswersDropped);
                return;
            }
            m_usedTokens += 1;
            m_sink(AnswerChunk { m_offset, std::move(event) });
            ++m_offset;
        }

        auto finishCompletion() -> AnswerEnd
        {
            if (m_status == statusNotFound)
                return failedEnd(notRun(FailureType::UpstreamFailed, "the engine does not have the adapter"));
            if (m_status != statusOk)
                return failedEnd(refusal());
            const auto json = nlohmann::json::parse(m_pending, nullptr, false);
            if (json.is_discarded() || !belongsTo(m_call, json)) {
                m_metrics.add(Counter::AnswersDropped);
                return failedEnd(
                    mayHaveRun(FailureType::UpstreamFailed, "the engine gave another request's answer"));
            }
            const auto usage = json.value("usage", nlohmann::json::object());
            return passWhole(usage.value("total_tokens", m_call.m_costTokens));
        }

        auto refusal() const -> Failure
        {
            const auto text = "the engine answers " + std::to_string(m_status) + ": " + m_pending;
            if (m_status < statusServerError)
                return notRun(FailureType::BadRequest, text);
            return mayHaveRun(FailureType::UpstreamFailed, text);
        }

        const Upstream& m_upstream;
        const ServeCall& m_call;
        Metrics& m_metrics;
        const AnswerSink& m_sink;
        int m_status = 0;
        std::string m_contentType;
        bool m_isStream = false;
        bool m_done = false;
        std::string m_pending;
        std::uint32_t m_offset;
        double m_usedTokens = 0;
    };

    auto makeRequest(const ServeCall& call) -> httplib::Request
    {
        auto request = httplib::Request();
        request.method = call.m_method;
        request.path = call.m_path;
        request.body = call.m_body;
        if (!call.m_contentType.empty())
            request.set_header("Content-Type", call.m_contentType);
        request.set_header("X-Request-Id", call.m_requestId.value());
        request.set_header("X-Organisation", call.m_organisation.value());
        if (!call.m_idempotencyKey.empty())
            request.set_header("Idempotency-Key", call.m_idempotencyKey.value());
        if (call.m_resumeOffset > 0)
            request.set_header("X-Resume-Offset", std::to_string(call.m_resumeOffset));
        return request;
    }

} // namespace

auto runCall(const Upstream& upstream, const ServeCall& call, const CancelFlag& cancelled, Metrics& metrics,
    const AnswerSink& sink) -> AnswerEnd
{
    auto client = makeClient(upstream, call.m_deadline);
    auto reader = AnswerReader(upstream, call, metrics, sink);
    auto request = makeRequest(call);
    request.response_handler = [&](const httplib::Response& response) { return reader.takeHead(response); };
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
        return !cancelled && reader.takeBytes(data, size);
    };
    const auto answer = client.send(request);
    if (!answer)
        return failedEnd(reader.failure(answer.error()));
    return reader.finish();
}

} // namespace marigoldladder
