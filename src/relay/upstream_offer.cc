// The part of the upstream caller that offers a request to a further upstream.
#include "core/http_status.h"
#include "relay/upstream_answer.h"
#include "relay/upstream_call.h"

namespace marigoldladder::relay {

namespace {

    // Ends an offer that an exception leaves open, so that nobody waits for it.
    class OfferEnd {
    public:
        explicit OfferEnd(OfferedCall& offered)
            : m_offered(offered)
        {
        }
        ~OfferEnd()
        {
            if (isOpen(m_offered))
                m_offered.m_outcome = UpstreamCallOutcome::Broken;
            m_offered.m_changed.cancel();
        }
        OfferEnd(const OfferEnd&) = delete;
        auto operator=(const OfferEnd&) -> OfferEnd& = delete;

    private:
        OfferedCall& m_offered;
    };

} // namespace

auto UpstreamCaller::offer(std::shared_ptr<CallState> state, std::shared_ptr<OfferedCall> offered)
    -> Awaitable<void>
{
    const auto end = OfferEnd(*offered);
    auto outcome = co_await connect(*state, offered->m_progress, offered->m_call);
    if (!outcome && offered->m_isGivenUp)
        outcome = UpstreamCallOutcome::NotSent;
    const auto isSent = !outcome;
    if (isSent) {
        offered->m_isSent = true;
        outcome = co_await awaitAnswer(*state, *offered);
    }
    offered->m_isAccepted = !outcome;
    offered->m_outcome = outcome;
    if (isSent && outcome && !offered->m_isGivenUp)
        recordEnd(offered->m_progress, *offered->m_call.m_upstream, *outcome);
}

auto UpstreamCaller::awaitAnswer(CallState& state, OfferedCall& offered)
    -> Awaitable<std::optional<UpstreamCallOutcome>>
{
    auto& sent = offered.m_call;
    co_await send(state, offered.m_progress, sent);
    if (!sent.m_head.m_parser)
        co_return outcomeWithoutAnswer(*sent.m_inProgress, sent.m_head.m_timedOut);
    if (sent.m_head.m_answer.m_notRun) {
        co_await receiveRefusal(state, offered.m_progress, sent);
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
