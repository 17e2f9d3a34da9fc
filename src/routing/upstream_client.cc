#include "routing/upstream_client.h"

#include "core/http_status.h"
#include "core/json_fields.h"
#include "objects/bounded_client.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto connectTimeout = std::chrono::milliseconds(500);
    constexpr auto statusOk = 200;
    constexpr auto statusNotFound = 404;
    constexpr auto statusTooManyRequests = 429;
    constexpr auto statusServerError = 500;
    constexpr auto probeTimeout = std::chrono::milliseconds(300);
    constexpr auto probeCount = 5;
    constexpr auto probePause = std::chrono::milliseconds(50);
    constexpr auto engineSilence = std::chrono::milliseconds(2000);
    constexpr auto serviceSilence = std::chrono::milliseconds(10'000);
    constexpr auto promptTimePerToken = std::chrono::milliseconds(1);
    constexpr auto answerTimePerToken = std::chrono::milliseconds(100);
    // In which an upstream that restarts is back, or another one has taken its work.
    constexpr auto unreachableRetryAfter = std::chrono::milliseconds(1'000);
    constexpr auto eventPrefix = std::string_view("data: ");
    constexpr auto eventEnd = std::string_view("\n\n");
    constexpr auto streamDone = std::string_view("[DONE]");
    // Far larger than what upstreams send. One that sends more is at fault.
    constexpr auto maxHeadBytes = std::size_t { 64 } << 10;
    constexpr auto maxEventBytes = std::size_t { 1 } << 20;
    constexpr auto maxWholeBytes = std::size_t { 8 } << 20;
    // An answer that ends somewhat late may still be of use: keyed calls are asked for again.
    constexpr auto lateAnswerTime = std::chrono::milliseconds(1'000);

    // What an answer may take up to the end of its head.
    auto boundsOf(const ServeCall& call) -> AnswerBounds
    {
        return { connectTimeout, silenceBoundOf(call), call.m_deadline + lateAnswerTime, maxHeadBytes };
    }

    // Whether no connection came about, so that no byte of the request was sent.
    auto isUnreachable(httplib::Error error) -> bool
    {
        return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
    }

    auto unreachable() -> Failure
    {
        auto failure = notRun(FailureType::Unavailable, "the upstream can't be reached");
        failure.m_retryAfter = unreachableRetryAfter;
        return failure;
    }

    auto failureOf(httplib::Error error) -> Failure
    {
        if (isUnreachable(error))
            return unreachable();
        return mayHaveRun(FailureType::UpstreamFailed, "the upstream's answer was lost");
    }

    // Checks that an answer's JSON is for this request: engines repeat adapter and request id.
    auto belongsTo(const ServeCall& call, const nlohmann::json& answer) -> bool
    {
        return textOr(answer, "model", "") == formatAdapterRef(call.m_adapter)
            && textOr(answer, "id", "") == call.m_requestId.value();
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

        auto takeHead(const httplib::Response& response) -> void
        {
            m_heardAt = std::chrono::steady_clock::now();
            m_status = response.status;
            m_contentType = response.get_header_value("Content-Type");
            m_bootId = response.get_header_value("X-Engine-Boot");
            m_isStream = m_call.m_stream && m_status == statusOk;
            if (m_isStream)
                passHead();
        }

        // How many bytes may come before the next piece of the body, framing included.
        auto nextPieceBytes() const -> std::size_t { return m_isStream ? maxEventBytes : maxWholeBytes; }

        // Returns false to break off, because the answer can't go on from here.
        auto takeBytes(const char* data, std::size_t size) -> bool
        {
            m_heardAt = std::chrono::steady_clock::now();
            m_pending.append(data, size);
            if (!m_isStream)
                return true;
            for (auto end = m_pending.find(eventEnd); end != std::string::npos && !m_gap;
                 end = m_pending.find(eventEnd)) {
                auto event = m_pending.substr(0, end + eventEnd.size());
                m_pending.erase(0, end + eventEnd.size());
                takeEvent(std::move(event));
            }
            return !m_gap && !m_done && m_pending.size() <= maxEventBytes;
        }

        auto done() const -> bool { return m_done; }
        auto isStream() const -> bool { return m_isStream; }

        // Returns what an answer received to its end came to.
        auto finish() -> ExchangeEnd
        {
            // An interim answer that the library took for the final one is none either.
            if (kindOfStatus(static_cast<unsigned>(m_status)) != StatusKind::Final) {
                m_metrics.add(Counter::InvalidStatuses);
                return lost();
            }
            if (m_isStream && m_done)
                return { ExchangeOutcome::Answered, { true, {}, m_usedTokens, false }, m_bootId, false };
            if (m_isStream)
                return lost();
            if (m_call.m_adapter.m_name.empty())
                return { ExchangeOutcome::Answered, passWhole(m_call.m_costTokens), m_bootId, false };
            return finishCompletion();
        }

        // Returns what a broken exchange came to.
        auto broken(httplib::Error error, std::chrono::milliseconds bound) const -> ExchangeEnd
        {
            if (isUnreachable(error))
                return { ExchangeOutcome::Unreachable, failedEnd(failureOf(error)), {}, false };
            if (std::chrono::steady_clock::now() - m_heardAt < bound)
                return lost();
            return { ExchangeOutcome::Silent,
                failedEnd(mayHaveRun(FailureType::UpstreamFailed,
                    "the upstream sent nothing for " + std::to_string(bound.count()) + " ms")),
                {}, false };
        }

    private:
        static auto lost() -> ExchangeEnd
        {
            return { ExchangeOutcome::Lost,
                failedEnd(mayHaveRun(FailureType::UpstreamFailed, "the upstream's answer was cut short")), {},
                false };
        }

        auto passHead() -> void
        {
            m_sink(AnswerHead { m_status, m_contentType, m_upstream.m_name, m_call.m_adapter, m_bootId });
        }

        auto passWhole(double usedTokens) -> AnswerEnd
        {
            passHead();
            m_sink(AnswerChunk { 0, std::move(m_pending) });
            return AnswerEnd { true, {}, usedTokens, false };
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
            const auto ours = json.is_object() && belongsTo(m_call, json);
            const auto offset = ours ? countOr(json, "offset", m_offset) : m_offset;
            m_gap = offset > m_offset;
            if (!ours || offset != m_offset) {
                m_metrics.add(Counter::AnswersDropped);
                return;
            }
            m_usedTokens += 1;
            m_sink(AnswerChunk { m_offset, std::move(event) });
            ++m_offset;
        }

        auto finishCompletion() -> ExchangeEnd
        {
            if (m_status != statusOk)
                return refusal();
            const auto json = nlohmann::json::parse(m_pending, nullptr, false);
            if (!json.is_object() || !belongsTo(m_call, json)) {
                m_metrics.add(Counter::AnswersDropped);
                return { ExchangeOutcome::Answered,
                    failedEnd(
                        mayHaveRun(FailureType::UpstreamFailed, "the engine gave another request's answer")),
                    m_bootId, false };
            }
            const auto& usage = objectIn(json, "usage");
            return { ExchangeOutcome::Answered,
                passWhole(numberOr(usage, "total_tokens", m_call.m_costTokens)), m_bootId, false };
        }

        auto refusal() const -> ExchangeEnd
        {
            const auto text = "the engine answers " + std::to_string(m_status) + ": " + m_pending;
            auto end = ExchangeEnd { ExchangeOutcome::Answered, {}, m_bootId, m_status == statusNotFound };
            const auto busy = m_status == statusTooManyRequests;
            if (busy || m_status >= statusServerError)
                end.m_outcome = ExchangeOutcome::Overloaded;
            if (m_status >= statusServerError)
                end.m_end = failedEnd(mayHaveRun(FailureType::UpstreamFailed, text));
            else if (end.m_notLoaded)
                end.m_end = failedEnd(notRun(FailureType::UpstreamFailed, text));
            else
                end.m_end = failedEnd(notRun(busy ? FailureType::Overloaded : FailureType::BadRequest, text));
            return end;
        }

        const Upstream& m_upstream;
        const ServeCall& m_call;
        Metrics& m_metrics;
        const AnswerSink& m_sink;
        MonotonicTime m_heardAt = std::chrono::steady_clock::now();
        int m_status = 0;
        std::string m_contentType;
        std::string m_bootId;
        bool m_isStream = false;
        bool m_done = false;
        bool m_gap = false; // An event is missing before the last one.
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

auto CallControl::cancel() -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_cancelled = true;
    if (m_breaker)
        m_breaker();
}

auto CallControl::setBreaker(std::function<void()> breaker) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_breaker = std::move(breaker);
}

auto silenceBoundOf(const ServeCall& call) -> std::chrono::milliseconds
{
    if (!call.m_idempotent)
        return call.m_deadline; // It can't be sent again, so there is nothing to gain by giving up.
    if (call.m_adapter.m_name.empty())
        return std::min(call.m_deadline, serviceSilence);
    const auto perToken = call.m_stream ? promptTimePerToken : answerTimePerToken;
    const auto expected = perToken * static_cast<std::int64_t>(call.m_costTokens);
    return std::min(call.m_deadline, engineSilence + expected);
}

auto runCall(const Upstream& upstream, const ServeCall& call, CallControl& control, Metrics& metrics,
    const AnswerSink& sink) -> ExchangeEnd
{
    const auto bound = silenceBoundOf(call);
    auto client = BoundedClient(upstream.m_address, boundsOf(call));
    auto reader = AnswerReader(upstream, call, metrics, sink);
    auto request = makeRequest(call);
    request.response_handler = [&](const httplib::Response& response) {
        reader.takeHead(response);
        client.allowBytes(reader.nextPieceBytes());
        return !control.cancelled();
    };
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
        if (control.cancelled() || !reader.takeBytes(data, size))
            return false;
        if (reader.isStream())
            client.allowBytes(reader.nextPieceBytes());
        return true;
    };
    control.setBreaker([&client] { client.stop(); });
    const auto answer = client.send(request);
    control.setBreaker(nullptr);
    if (answer || reader.done())
        return reader.finish();
    auto end = reader.broken(answer.error(), bound);
    if (control.cancelled())
        end.m_outcome = ExchangeOutcome::Cancelled;
    return end;
}

auto probeUpstream(const Upstream& upstream) -> UpstreamProbe
{
    auto dropped = 0;
    for (auto probe = 0; probe < probeCount; ++probe) {
        const auto begun = std::chrono::steady_clock::now();
        const auto bounds = AnswerBounds { connectTimeout, probeTimeout, probeTimeout, maxHeadBytes };
        const auto answer = BoundedClient(upstream.m_address, bounds).Get("/health");
        if (answer)
            return { false, answer->get_header_value("X-Engine-Boot") };
        if (answer.error() == httplib::Error::Connection)
            return { true, {} };
        // A process that is just ending may take a connection and drop it: ask again.
        dropped += std::chrono::steady_clock::now() - begun < probeTimeout / 2 ? 1 : 0;
        std::this_thread::sleep_for(probePause);
    }
    // Dropped each time: something on the way takes connections for an upstream that is not there.
    return { dropped == probeCount, {} };
}

} // namespace marigoldladder
