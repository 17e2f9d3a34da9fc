// The part of the upstream caller that sends a request to a further upstream as a hedge.
#include "core/http_status.h"
#include "relay/upstream_answer.h"
#include "relay/upstream_call.h"

namespace marigoldladder::relay {

namespace {

    // Ends a hedge that an exception leaves open, so that nobody waits for it.
    class HedgeEnd {
    public:
        explicit HedgeEnd(HedgedCall& hedged)
            : m_hedged(hedged)
        {
        }
        ~HedgeEnd()
        {
            if (isOpen(m_hedged))
                m_hedged.m_outcome = UpstreamCallOutcome::Broken;
            m_hedged.m_changed.cancel();
        }
        HedgeEnd(const HedgeEnd&) = delete;
        auto operator=(const HedgeEnd&) -> HedgeEnd& = delete;

    private:
        HedgedCall& m_hedged;
    };

} // namespace

auto UpstreamCaller::hedge(std::shared_ptr<CallState> state, std::shared_ptr<HedgedCall> hedged)
    -> Awaitable<void>
{
    const auto end = HedgeEnd(*hedged);
    auto outcome = co_await connect(*state, hedged->m_progress, hedged->m_call);
    if (!outcome && hedged->m_isGivenUp)
        outcome = UpstreamCallOutcome::NotSent;
    const auto isSent = !outcome;
    if (isSent) {
        hedged->m_isSent = true;
        outcome = co_await awaitAnswer(*state, *hedged);
    }
    hedged->m_isAccepted = !outcome;
    hedged->m_outcome = outcome;
    if (isSent && outcome && !hedged->m_isGivenUp)
        recordEnd(hedged->m_progress, *hedged->m_call.m_upstream, *outcome);
}

auto UpstreamCaller::awaitAnswer(CallState& state, HedgedCall& hedged)
    -> Awaitable<std::optional<UpstreamCallOutcome>>
{
    auto& sent = hedged.m_call;
    co_await send(state, hedged.m_progress, sent);
    if (!sent.m_head.m_parser)
        co_return outcomeWithoutAnswer(*sent.m_inProgress, sent.m_head.m_timedOut);
    if (sent.m_head.m_answer.m_notRun) {
        co_await receiveRefusal(state, hedged.m_progress, sent);
        co_return UpstreamCallOutcome::Refused;
    }
    if (!isSuccess(sent.m_head.m_parser->get().result_int()))
        co_return UpstreamCallOutcome::Failed;
    // An upstream may send the head before it begins to run the request.
    auto& connection = *sent.m_connection;
    auto& socket = connection.m_stream.socket();
    const auto hasBytes = connection.m_buffer.size() > 0 || sent.m_head.m_parser->is_done();
    auto error = ErrorCode();
    if (!hasBytes)
        co_await socket.async_wait(net::ip::tcp::socket::wait_read, errorTo(error));
    if (!hasBytes && (error || isClosed(socket)))
        co_return outcomeWithoutAnswer(*sent.m_inProgress, connection.m_deadline->expired());
    sent.m_inProgress->recordAnswer();
    co_return std::nullopt;
}

} // namespace marigoldladder::relay
