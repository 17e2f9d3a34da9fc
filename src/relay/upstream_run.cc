#include "relay/upstream_run.h"

#include "relay/bounded_body.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <limits>

namespace marigoldladder::relay {

namespace http = boost::beast::http;

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr auto runAnswerTimeout = Milliseconds(400); // Upstreams answer within a few milliseconds.
    constexpr auto maxAnswerBytes = std::uint64_t { 256 } << 10; // Far larger than any report.
    // In place of the start of a run that isn't known; no run has started then.
    constexpr auto unknownStart = std::numeric_limits<std::uint64_t>::max();

    struct RunReply {
        bool m_isWhole = false; // And the connection stays open.
        unsigned m_status = 0;
        HeaderFields m_fields;
        std::string m_body;
    };

    auto readReply(UpstreamConnection& connection) -> Awaitable<RunReply>
    {
        auto parser = http::response_parser<http::buffer_body>();
        parser.body_limit(maxAnswerBytes);
        auto reply = RunReply();
        auto error = ErrorCode();
        co_await http::async_read_header(connection.m_stream, connection.m_buffer, parser, errorTo(error));
        if (error)
            co_return reply;
        const auto mayHold = [](std::size_t size) { return size <= maxAnswerBytes; };
        error = co_await readBody(
            connection.m_stream, connection.m_buffer, parser, maxAnswerBytes, reply.m_body, mayHold);
        reply.m_status = parser.get().result_int();
        reply.m_isWhole
            = !error && parser.get().keep_alive() && !parser.need_eof() && connection.m_buffer.size() == 0;
        reply.m_fields = std::move(parser.get().base());
        co_return reply;
    }

} // namespace

auto askRun(UpstreamConnection& connection, Upstream& upstream, const Dialect& dialect, MonotonicTime until,
    Metrics& metrics) -> Awaitable<RunQuestion>
{
    if (connection.m_runStartedAt)
        co_return RunQuestion::Answered;
    if (upstream.m_statesNoRun) {
        connection.m_runStartedAt = 0;
        co_return RunQuestion::Answered;
    }
    metrics.add(Counter::RunsAsked);
    const auto deadline
        = ConnectionDeadline(connection.m_stream, std::min(Clock::now() + runAnswerTimeout, until));
    const auto question = dialect.m_askRun(upstream.m_record.m_name);
    auto error = ErrorCode();
    co_await http::async_write(connection.m_stream, question, errorTo(error));
    auto reply = RunReply();
    if (!error)
        reply = co_await readReply(connection);
    if (deadline.expired())
        co_return RunQuestion::NotAnswered;
    auto answer = RunAnswer();
    if (reply.m_isWhole)
        answer = dialect.m_readRun(reply.m_status, reply.m_fields, reply.m_body);
    if (!answer.m_isAnswer)
        co_return RunQuestion::ConnectionEnded;
    connection.m_runStartedAt = answer.m_startedAt.value_or(0);
    upstream.m_statesNoRun = !answer.m_startedAt;
    co_return RunQuestion::Answered;
}

auto softwareOn(const UpstreamConnection& connection, const Upstream& upstream, MonotonicTime now)
    -> SoftwareId
{
    const auto& record = upstream.m_record;
    if (isOtherRun(connection, upstream))
        return softwareOfRun(record.m_name, *connection.m_runStartedAt);
    const auto isListedRun = connection.m_runStartedAt.value_or(0) != 0 && record.m_startedAt != 0;
    const auto isInDoubt = !isListedRun && upstream.m_inDoubtUntil > now;
    return isInDoubt ? softwareOfRun(record.m_name, unknownStart) : record.m_software;
}

auto isOtherRun(const UpstreamConnection& connection, const Upstream& upstream) -> bool
{
    const auto stated = connection.m_runStartedAt.value_or(0);
    const auto listed = upstream.m_record.m_startedAt;
    return stated != 0 && listed != 0 && stated != listed;
}

} // namespace marigoldladder::relay
