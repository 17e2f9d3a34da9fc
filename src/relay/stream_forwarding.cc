#include "relay/stream_forwarding.h"

#include "relay/event_text.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/read.hpp>

namespace marigoldladder::relay {

namespace http = boost::beast::http;

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr auto readBufferBytes = std::size_t { 16 } << 10; // Largest single read from a stream.

    // Longest pause between two events before a resumable stream is moved to another upstream: longer than
    // the pause that callers count as on time, shorter than the one after which they disconnect.
    constexpr auto eventTimeoutFactor = 4;
    constexpr auto minEventTimeout = Milliseconds(1'000);

    auto eventDeadline(const CallState& state) -> MonotonicTime
    {
        if (!mayRetry(*state.m_route))
            return state.m_deadline;
        const auto pause
            = std::max<Milliseconds>(state.m_route->m_targetEventGap * eventTimeoutFactor, minEventTimeout);
        return std::min(state.m_deadline, Clock::now() + pause);
    }

    // Records that the upstream sent these events: whole ones, or the rest of its answer.
    auto recordEvents(CallState& state, std::string_view events, RelayBoard& board) -> void
    {
        recordAnswerBegan(state, board);
        if (auto id = lastEventId(events); !id.empty())
            state.m_lastEventId = std::move(id);
        if (state.m_timeToFirstPart)
            return;
        const auto age = Clock::now() - state.m_arrivedAt;
        state.m_timeToFirstPart = std::chrono::duration_cast<Milliseconds>(age);
        board.m_metrics.observe(Latency::FirstToken, std::chrono::duration<double>(age).count());
    }

    auto outcomeOfBreak(const CallState& state, const CallerAnswer& answer, ErrorCode error)
        -> UpstreamCallOutcome
    {
        if (state.m_callerDisconnected)
            return UpstreamCallOutcome::CallerDisconnected;
        if (answer.begun())
            return UpstreamCallOutcome::Interrupted;
        return error == beast::error::timeout ? UpstreamCallOutcome::TimedOut : UpstreamCallOutcome::Broken;
    }

} // namespace

auto recordAnswerBegan(CallState& state, RelayBoard& board) -> void
{
    if (std::exchange(state.m_answerBegan, true))
        return;
    (void)recordAnswer(board.m_crashEvidence, state.m_suspects, Clock::now());
}

auto forwardStream(CallState& state, CallerAnswer& answer, UpstreamConnection& connection, HeadParser& head,
    RelayBoard& board) -> Awaitable<StreamResult>
{
    if (!answer.begun()) {
        auto fields = HeaderFields(head.get().base());
        removeConnectionFields(fields);
        answer.beginStream(head.get().result_int(), fields);
    }
    auto parser = http::response_parser<http::buffer_body>(std::move(head));
    parser.body_limit(boost::none);
    const auto isFramed = !parser.need_eof(); // By a length or chunks; else it ends with its connection.
    auto part = std::string(readBufferBytes, '\0');
    auto pending = std::string();
    for (;;) {
        auto& body = parser.get().body();
        body.data = part.data();
        body.size = part.size();
        body.more = true;
        auto error = ErrorCode();
        connection.m_stream.expires_at(eventDeadline(state));
        if (!parser.is_done())
            co_await http::async_read_some(connection.m_stream, connection.m_buffer, parser, errorTo(error));
        if (error == http::error::need_buffer)
            error = {};
        if (!error)
            state.m_lastHeardAt = Clock::now();
        pending.append(part.data(), part.size() - body.size);
        const auto atEnd = !error && parser.is_done();
        const auto length = atEnd && isFramed ? pending.size() : wholeEventsLength(pending);
        if (length > 0) {
            const auto events = std::string_view(pending).substr(0, length);
            recordEvents(state, events, board);
            const auto sent = co_await answer.sendPart(events);
            if (sent == SendOutcome::CallerDisconnected)
                co_return StreamResult { UpstreamCallOutcome::CallerDisconnected, false };
            pending.erase(0, length);
        }
        // Without framing, an end before the first event or inside an event shows that the stream broke.
        const auto broke = error || (atEnd && !isFramed && (!pending.empty() || !state.m_answerBegan));
        if (atEnd && !broke) {
            const auto ended = co_await answer.endStream();
            const auto outcome = ended == SendOutcome::Sent ? UpstreamCallOutcome::Delivered
                                                            : UpstreamCallOutcome::CallerDisconnected;
            co_return StreamResult { outcome, parser.get().keep_alive() && !parser.need_eof() };
        }
        if (broke)
            co_return StreamResult { outcomeOfBreak(state, answer, error), false };
    }
}

} // namespace marigoldladder::relay
