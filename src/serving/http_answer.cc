#include "serving/http_answer.h"

#include "objects/bounded_server.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto jsonType = "application/json";
    constexpr auto eventStreamType = "text/event-stream";
    constexpr auto millisecondsPerSecond = 1000;

    auto failureJson(const Failure& failure, const RequestId& id) -> nlohmann::json
    {
        return { { "error",
            {
                { "type", nameOf(failureTypeNames, failure.m_type) },
                { "message", failure.m_message },
                { "verdict", nameOf(verdictNames, failure.m_verdict) },
                { "retry_after_ms", failure.m_retryAfter.count() },
                { "request_id", id.value() },
            } } };
    }

    auto hungUpEnd() -> AnswerEnd
    {
        return failedEnd(mayHaveRun(FailureType::UpstreamFailed, "the caller hung up"));
    }

    // Waits for the next event, as long as the caller is there.
    auto awaitEvent(StreamAnswer& answer) -> std::optional<AnswerEvent>
    {
        while (!callerHungUp()) {
            if (auto event = answer.next(std::chrono::steady_clock::now() + hangUpCheck))
                return event;
        }
        return std::nullopt;
    }

    // One event stream on its way to the caller; httplib asks for it piece by piece.
    struct StreamWriter {
        StartedAnswer m_answer;
        RequestId m_id;
        AnswerFinish m_finish;
        bool m_finished = false;

        auto finishOnce(const AnswerEnd& end) -> void
        {
            if (!std::exchange(m_finished, true))
                m_finish(end);
        }

        // Writes the next event; returns false to break the connection.
        auto writeNext(httplib::DataSink& sink) -> bool
        {
            const auto event = awaitEvent(*m_answer.m_answer);
            if (!event)
                return false;
            if (const auto* chunk = std::get_if<AnswerChunk>(&*event))
                return sink.write(chunk->m_data.data(), chunk->m_data.size());
            const auto& end = std::get<AnswerEnd>(*event);
            if (!end.m_completed) {
                const auto text = "data: " + failureJson(end.m_failure, m_id).dump() + "\n\n";
                sink.write(text.data(), text.size());
            }
            finishOnce(end);
            sink.done();
            return true;
        }

        // Called when the connection is done with, whether or not all was written.
        auto release() -> void
        {
            m_answer.m_answer.reset();
            finishOnce(hungUpEnd());
        }
    };

    auto writeStream(httplib::Response& response, const std::shared_ptr<StreamWriter>& writer) -> void
    {
        response.set_chunked_content_provider(
            eventStreamType,
            [writer](std::size_t, httplib::DataSink& sink) { return writer->writeNext(sink); },
            [writer](bool) { writer->release(); });
    }

    auto collectBody(StreamAnswer& answer, std::string& body) -> AnswerEnd
    {
        while (auto event = awaitEvent(answer)) {
            if (const auto* end = std::get_if<AnswerEnd>(&*event))
                return *end;
            if (const auto* chunk = std::get_if<AnswerChunk>(&*event))
                body += chunk->m_data;
        }
        return hungUpEnd();
    }

} // namespace

auto writeFailure(httplib::Response& response, const Failure& failure, const RequestId& id) -> void
{
    response.status = httpStatus(failure.m_type);
    response.set_header("Marigoldladder-Verdict", std::string(nameOf(verdictNames, failure.m_verdict)));
    if (failure.m_retryAfter.count() > 0) {
        const auto seconds
            = (failure.m_retryAfter.count() + millisecondsPerSecond - 1) / millisecondsPerSecond;
        response.set_header("Retry-After", std::to_string(seconds));
    }
    const auto text = failureJson(failure, id).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    response.set_content(text, jsonType);
}

auto writeAnswer(httplib::Response& response, StartedAnswer answer, const RequestId& id, bool stream,
    AnswerFinish finish) -> void
{
    response.set_header("X-Request-Id", id.value());
    if (stream) {
        auto writer = std::make_shared<StreamWriter>();
        *writer = { std::move(answer), id, std::move(finish) };
        writeStream(response, writer);
        return;
    }
    auto body = std::string();
    const auto end = collectBody(*answer.m_answer, body);
    if (end.m_completed) {
        response.status = answer.m_head.m_status;
        response.set_content(body, answer.m_head.m_contentType);
    } else {
        writeFailure(response, end.m_failure, id);
    }
    finish(end);
}

} // namespace marigoldladder
