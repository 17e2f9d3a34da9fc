#include "relay/upstream_answer.h"

#include "core/http_status.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <charconv>

namespace marigoldladder::relay {

namespace http = boost::beast::http;

namespace {

    constexpr auto maxStrayAnswers = 3; // Discarded on one connection before it is closed.
    constexpr auto maxWholeBody = std::uint64_t { 8 } << 20; // Larger than answers of plain services.
    // For upstreams that state no idle timeout: it is stated in whole seconds, so theirs may be below one.
    constexpr auto defaultIdleTimeout = Milliseconds(900);

    // Discards an answer to another request; returns whether the connection can still be used.
    auto skipAnswer(UpstreamConnection& connection, HeadParser& parser, const MayHold& mayHold)
        -> Awaitable<bool>
    {
        if (parser.need_eof())
            co_return false;
        auto skipped = WholeAnswer();
        auto keepAlive = false;
        const auto error = co_await readWhole(connection, parser, skipped, keepAlive, mayHold);
        co_return !error;
    }

    // A refusal without id belongs to the request if nothing else was sent on its connection. On a connection
    // that served other requests it may be a late answer to one of them, and this request may still run.
    auto belongsTo(const CallState& state, const UpstreamAnswer& answer, bool isFirstAnswer) -> bool
    {
        if (answer.m_requestId.empty() && answer.m_notRun && isFirstAnswer)
            return true;
        return answer.m_requestId == state.m_request.m_id;
    }

} // namespace

auto readHead(UpstreamConnection& connection, const CallState& state, const Dialect& dialect,
    RelayBoard& board) -> Awaitable<AnswerHead>
{
    auto head = AnswerHead();
    auto interimAnswers = 0;
    for (auto strayAnswers = 0; strayAnswers <= maxStrayAnswers && interimAnswers <= maxInterimAnswers;) {
        auto parser = std::make_unique<HeadParser>();
        parser->skip(state.m_message.method() == http::verb::head);
        auto error = ErrorCode();
        co_await http::async_read_header(connection.m_stream, connection.m_buffer, *parser, errorTo(error));
        if (error) {
            head.m_timedOut = connection.m_deadline->expired();
            co_return head;
        }
        const auto status = parser->get().result_int();
        const auto kind = kindOfStatus(status);
        if (kind == StatusKind::Invalid) {
            board.m_metrics.add(Counter::InvalidStatuses);
            co_return head;
        }
        if (kind == StatusKind::Interim) {
            ++interimAnswers;
            continue;
        }
        head.m_answer = dialect.m_readAnswer(status, parser->get());
        const auto isFirstAnswer = !connection.m_reused && strayAnswers == 0;
        if (belongsTo(state, head.m_answer, isFirstAnswer)) {
            head.m_parser = std::move(parser);
            co_return head;
        }
        ++strayAnswers;
        board.m_metrics.add(Counter::AnswersDropped);
        const auto skipped = co_await skipAnswer(connection, *parser, state.m_mayHoldAnswer);
        if (!skipped)
            co_return head;
    }
    co_return head;
}

auto readWhole(UpstreamConnection& connection, HeadParser& head, WholeAnswer& answer, bool& keepAlive,
    const MayHold& mayHold) -> Awaitable<ErrorCode>
{
    auto parser = http::response_parser<http::buffer_body>(std::move(head));
    parser.body_limit(maxWholeBody);
    auto error = co_await readBody(
        connection.m_stream, connection.m_buffer, parser, maxWholeBody, answer.m_body, mayHold);
    if (!error && mayEndByBreak(connection) && parser.need_eof())
        error = http::make_error_code(http::error::partial_message);
    if (error)
        co_return error;
    keepAlive = parser.get().keep_alive() && !parser.need_eof();
    answer.m_status = parser.get().result_int();
    answer.m_fields = std::move(parser.get().base());
    co_return error;
}

auto keepAliveTimeout(const HeaderFields& fields) -> Milliseconds
{
    constexpr auto prefix = std::string_view("timeout=");
    const auto found = fields.find(http::field::keep_alive);
    if (found == fields.end())
        return defaultIdleTimeout;
    const auto text = std::string_view(found->value().data(), found->value().size());
    const auto at = text.find(prefix);
    if (at == std::string_view::npos)
        return defaultIdleTimeout;
    auto seconds = 0;
    std::from_chars(text.data() + at + prefix.size(), text.data() + text.size(), seconds);
    return std::chrono::seconds(seconds);
}

} // namespace marigoldladder::relay
