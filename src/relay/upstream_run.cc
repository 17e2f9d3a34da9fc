#include "relay/upstream_run.h"

#include "relay/bounded_body.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <limits>
#include <xxhash.h>

namespace marigoldladder::relay {

namespace http = boost::beast::http;

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr auto runAnswerTimeout = Milliseconds(400); // Upstreams answer within a few milliseconds.
    constexpr auto maxAnswerBytes = std::uint64_t { 256 } << 10; // Far larger than any report.
    // In place of the start of a run that isn't known; no run has started then.
    constexpr auto unknownStart = std::numeric_limits<std::uint64_t>::max();

    auto runOf(const UpstreamRecord& record) -> SoftwareId
    {
        return softwareOfRun(record.m_name, record.m_startedAt);
    }

    auto answerOn(UpstreamConnection& connection, std::string& body, unsigned& status)
        -> Awaitable<RunQuestion>
    {
        auto parser = http::response_parser<http::buffer_body>();
        parser.body_limit(maxAnswerBytes);
        auto error = ErrorCode();
        co_await http::async_read_header(connection.m_stream, connection.m_buffer, parser, errorTo(error));
        if (error)
            co_return RunQuestion::ConnectionEnded;
        const auto mayHold = [](std::size_t size) { return size <= maxAnswerBytes; };
        error = co_await readBody(
            connection.m_stream, connection.m_buffer, parser, maxAnswerBytes, body, mayHold);
        status = parser.get().result_int();
        const auto isKept
            = !error && parser.get().keep_alive() && !parser.need_eof() && connection.m_buffer.size() == 0;
        co_return isKept ? RunQuestion::Answered : RunQuestion::ConnectionEnded;
    }

} // namespace

auto softwareOfRun(const UpstreamName& name, std::uint64_t startedAt) -> SoftwareId
{
    const auto id = XXH3_64bits_withSeed(name.value().data(), name.value().size(), startedAt);
    return std::max<SoftwareId>(id, 1); // 0 stands for an unknown one in messages.
}

auto resolveSoftware(const UpstreamTable& table, SoftwareId software) -> SoftwareId
{
    for (const auto* upstreams : { &table.m_upstreams, &table.m_removedLately }) {
        for (const auto& [name, upstream] : *upstreams) {
            if (upstream->m_record.m_software == software)
                return software;
            if (runOf(upstream->m_record) == software)
                return upstream->m_record.m_software;
        }
    }
    return software;
}

auto askRun(UpstreamConnection& connection, Upstream& upstream, const Dialect& dialect, Metrics& metrics)
    -> Awaitable<RunQuestion>
{
    if (connection.m_runStartedAt)
        co_return RunQuestion::Answered;
    if (upstream.m_statesNoRun) {
        connection.m_runStartedAt = 0;
        co_return RunQuestion::Answered;
    }
    metrics.add(Counter::RunsAsked);
    const auto deadline = ConnectionDeadline(connection.m_stream, Clock::now() + runAnswerTimeout);
    const auto question = dialect.m_askRun(upstream.m_record.m_name);
    auto error = ErrorCode();
    co_await http::async_write(connection.m_stream, question, errorTo(error));
    auto body = std::string();
    auto status = 0U;
    auto outcome = RunQuestion::ConnectionEnded;
    if (!error)
        outcome = co_await answerOn(connection, body, status);
    if (deadline.expired())
        co_return RunQuestion::NotAnswered;
    if (outcome != RunQuestion::Answered)
        co_return outcome;
    connection.m_reused = true;
    const auto startedAt = dialect.m_readRun(status, body);
    connection.m_runStartedAt = startedAt.value_or(0);
    if (startedAt)
        upstream.m_hasStatedRun = true;
    else if (!upstream.m_hasStatedRun)
        upstream.m_statesNoRun = true;
    co_return outcome;
}

auto softwareOn(const UpstreamConnection& connection, const Upstream& upstream, MonotonicTime now)
    -> SoftwareId
{
    const auto& record = upstream.m_record;
    if (isOtherRun(connection, upstream))
        return softwareOfRun(record.m_name, *connection.m_runStartedAt);
    const auto isStated = connection.m_runStartedAt.value_or(0) != 0;
    const auto isInDoubt = isStated ? record.m_startedAt == 0 && upstream.m_inDoubtUntil > now
                                    : upstream.m_hasStatedRun || upstream.m_inDoubtUntil > now;
    return isInDoubt ? softwareOfRun(record.m_name, unknownStart) : record.m_software;
}

auto isOtherRun(const UpstreamConnection& connection, const Upstream& upstream) -> bool
{
    const auto stated = connection.m_runStartedAt.value_or(0);
    const auto listed = upstream.m_record.m_startedAt;
    return stated != 0 && listed != 0 && stated != listed;
}

} // namespace marigoldladder::relay
