#include "relay/stream_forwarding.h"

#include "relay/crash_watch.h"
#include "relay/event_text.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/read.hpp>

namespace marigoldladder::relay {

namespace http = boost::beast::http;

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr auto readBufferBytes = std::size_t { 16 } << 10; // Largest single read from a stream.
    // Far larger than any event of an engine. An upstream that sends more without an end is at fault.
    constexpr auto maxEventBytes = std::size_t { 1 } << 20;

    // Pause between two events after which a resumable stream moves to another upstream that has room: longer
    // than the pause that callers count as on time, shorter than the one after which they disconnect.
    constexpr auto eventPauseFactor = 4;
    constexpr auto minEventPause = Milliseconds(1'000);

    auto eventPause(const Route& route) -> Milliseconds
    {
        return std::max<Milliseconds>(route.m_targetEventGap * eventPauseFactor, minEventPause);
    }

    // Records that the upstream sent these events: whole ones, or the rest of its answer.
    auto recordEvents(CallState& state, std::string_view events, RelayBoard& board) -> void
    {
        recordAnswerBegan(state, board);
        state.m_lastPartAt = Clock::now();
        if (auto id = lastEventId(events); !id.empty())
            state.m_lastEventId = std::move(id);
        if (state.m_timeToFirstPart)
            return;
        state.m_origin = state.m_call.m_software;
        board.m_streamBegan(state);
        const auto age = Clock::now() - state.m_arrivedAt;
        state.m_timeToFirstPart = std::chrono::duration_cast<Milliseconds>(age);
        board.m_metrics.observe(Latency::FirstToken, std::chrono::duration<double>(age).count());
    }

    auto outcomeOfBreak(const CallState& state, const CallerAnswer& answer, const SilenceWatch& silence,
        const UpstreamConnection& connection) -> UpstreamCallOutcome
    {
        if (state.m_callerDisconnected)
            return UpstreamCallOutcome::CallerDisconnected;
        if (silence.hasMoved())
            return UpstreamCallOutcome::Moved;
        if (answer.begun())
            return UpstreamCallOutcome::Interrupted;
        return connection.m_deadline->expired() ? UpstreamCallOutcome::TimedOut : UpstreamCallOutcome::Broken;
    }

} // namespace

auto recordAnswerBegan(CallState& state, RelayBoard& board) -> void
{
    if (std::exchange(state.m_call.m_answerBegan, true))
        return;
    (void)recordAnswer(board.m_crashEvidence, state.m_suspects, Clock::now());
}

auto recordAnswerEnded(const CallState& state, RelayBoard& board) -> void
{
    (void)recordAnswer(board.m_crashEvidence, suspectsDuringAnswer(state.m_suspects), Clock::now());
}

auto forwardStream(CallState& state, CallerAnswer& answer, UpstreamConnection& connection, HeadParser& head,
    SilenceWatch& silence, RelayBoard& board) -> Awaitable<StreamResult>
{
    if (!answer.begun()) {
        auto fields = HeaderFields(head.get().base());
        removeConnectionFields(fields);
        answer.beginStream(head.get().result_int(), fields);
    }
    auto parser = http::response_parser<http::buffer_body>(std::move(head));
    parser.body_limit(boost::none);
    const auto isResumed = resumesAnswer(state); // What is left then says nothing of the part before.
    const auto isFramed = !parser.need_eof(); // By a length or chunks; else it ends with its connection.
    auto part = std::string(readBufferBytes, '\0');
    auto pending = std::string(); // An event whose end hasn't arrived.
    for (;;) {
        auto& body = parser.get().body();
        body.data = part.data();
        body.size = part.size();
        body.more = true;
        auto error = ErrorCode();
        silence.begin(eventPause(*state.m_route));
        if (!parser.is_done())
            co_await http::async_read_some(connection.m_stream, connection.m_buffer, parser, errorTo(error));
        silence.end(!error || error == http::error::need_buffer);
        if (error == http::error::need_buffer)
            error = {};
        if (!error)
            state.m_call.m_lastHeardAt = Clock::now();
        const auto searched = pending.size();
        pending.append(part.data(), part.size() - body.size);
        const auto atEnd = !error && parser.is_done();
        const auto length = atEnd && isFramed ? pending.size() : wholeEventsLength(pending, searched);
        if (length > 0) {
            const auto events = std::string_view(pending).substr(0, length);
            recordEvents(state, events, board);
            const auto sent = co_await answer.sendPart(events);
            if (sent == SendOutcome::CallerDisconnected)
                co_return StreamResult { UpstreamCallOutcome::CallerDisconnected, false };
            pending.erase(0, length);
        }
        if (pending.size() > maxEventBytes)
            error = http::make_error_code(http::error::body_limit);
        if (!state.m_mayHoldAnswer(pending.size())) {
            board.m_metrics.add(Counter::AnswersWithoutMemory);
            co_return StreamResult { UpstreamCallOutcome::NotKept, false };
        }
        // Without framing, an end before the first event or inside an event shows that the stream broke.
        const auto mayBeCut = mayEndByBreak(connection) || !pending.empty() || !state.m_call.m_answerBegan;
        const auto broke = error || (atEnd && !isFramed && mayBeCut);
        if (atEnd && !broke) {
            if (!isResumed)
                recordAnswerEnded(state, board);
            const auto ended = co_await answer.endStream();
            const auto outcome = ended == SendOutcome::Sent ? UpstreamCallOutcome::Delivered
                                                            : UpstreamCallOutcome::CallerDisconnected;
            co_return StreamResult { outcome, parser.get().keep_alive() && !parser.need_eof() };
        }
        if (broke)
            co_return StreamResult { outcomeOfBreak(state, answer, silence, connection), false };
    }
}

} // namespace marigoldladder::relay
