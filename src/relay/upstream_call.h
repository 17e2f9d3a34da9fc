// Sends one request to one upstream and passes its answer on.
#pragma once

#include "relay/caller_answer.h"
#include "relay/upstream_connection_pool.h"
#include "relay/upstream_health.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace marigoldladder::relay {

// How a call to an upstream ended, for whoever decides what to do next.
enum class UpstreamCallOutcome {
    Delivered, // The caller has the whole answer.
    Refused, // The upstream has not run the request and will not.
    NotReached, // No connection; nothing was sent.
    Failed, // The upstream ran the request and answered with a failure, which is kept.
    Broken, // It may have run; no answer came through.
    Interrupted, // The caller has a part of the answer.
    TimedOut, // No answer in time; the call was given up.
    CallerGone,
};

inline constexpr auto upstreamCallOutcomeNames = std::array {
    EnumName<UpstreamCallOutcome> { UpstreamCallOutcome::Delivered, "delivered" },
    EnumName<UpstreamCallOutcome> { UpstreamCallOutcome::Refused, "refused" },
    EnumName<UpstreamCallOutcome> { UpstreamCallOutcome::NotReached, "not_reached" },
    EnumName<UpstreamCallOutcome> { UpstreamCallOutcome::Failed, "failed" },
    EnumName<UpstreamCallOutcome> { UpstreamCallOutcome::Broken, "broken" },
    EnumName<UpstreamCallOutcome> { UpstreamCallOutcome::Interrupted, "cut" },
    EnumName<UpstreamCallOutcome> { UpstreamCallOutcome::TimedOut, "silent" },
    EnumName<UpstreamCallOutcome> { UpstreamCallOutcome::CallerGone, "caller_gone" },
};

// An upstream's whole answer.
struct WholeAnswer {
    unsigned m_status = 0;
    HeaderFields m_fields;
    std::string m_body;
};

// What the caller sent, and how far its answer is.
struct CallState {
    boost::beast::http::request<boost::beast::http::string_body> m_message;
    CallerRequest m_request;
    const Route* m_route = nullptr;
    OrganisationName m_organisation;
    int m_priority = 0;
    MonotonicTime m_arrivedAt {};
    MonotonicTime m_deadline {}; // The caller's deadline or the route's time-out, whichever is first.
    bool m_callerDisconnected = false;
    std::function<void()> m_cancelUpstream; // Set while a call to an upstream runs.
    std::optional<Milliseconds> m_timeToFirstPart; // When the first part of a stream went out.
    std::string m_lastEventId; // Of what the caller has got from this node.
    std::optional<WholeAnswer> m_upstreamFailure;
};

class UpstreamCaller {
public:
    UpstreamCaller(UpstreamConnectionPool&, const Dialect&, RelayBoard&);

    // `answerDeadline` is when an upstream that has not begun to answer is given up.
    auto call(CallState&, CallerAnswer&, const UpstreamPointer&, MonotonicTime answerDeadline)
        -> Awaitable<UpstreamCallOutcome>;

private:
    auto exchange(CallState&, CallerAnswer&, const UpstreamPointer&, UpstreamConnectionPointer,
        MonotonicTime answerDeadline) -> Awaitable<UpstreamCallOutcome>;
    auto recordReachability(Upstream&, UpstreamCallOutcome, bool refused) -> void;
    auto recordMissingAdapter(const std::string& adapter, Upstream&, MonotonicTime now) -> void;
    auto recordRefusal(const CallState&, Upstream&, const UpstreamAnswer&) -> void;

    UpstreamConnectionPool& m_connections;
    const Dialect& m_dialect;
    RelayBoard& m_board;
};

} // namespace marigoldladder::relay
