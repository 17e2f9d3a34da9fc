// Sends one request to one upstream and passes its answer on.
#pragma once

#include "relay/caller_answer.h"
#include "relay/upstream_connections.h"
#include "relay/upstream_health.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace marigoldladder::relay {

// How a call to an upstream ended, for whoever decides what to do next.
enum class UpstreamCallEnd {
    Delivered, // The caller has the whole answer.
    Refused, // The upstream has not run the request and will not.
    NotReached, // No connection; nothing was sent.
    Failed, // The upstream ran the request and answered with a failure, which is kept.
    Broken, // It may have run; no answer came through.
    Cut, // The caller has a part of the answer.
    Silent, // No answer in time; the call was given up.
    CallerGone,
};

inline constexpr auto upstreamCallEndNames = std::array {
    EnumName<UpstreamCallEnd> { UpstreamCallEnd::Delivered, "delivered" },
    EnumName<UpstreamCallEnd> { UpstreamCallEnd::Refused, "refused" },
    EnumName<UpstreamCallEnd> { UpstreamCallEnd::NotReached, "not_reached" },
    EnumName<UpstreamCallEnd> { UpstreamCallEnd::Failed, "failed" },
    EnumName<UpstreamCallEnd> { UpstreamCallEnd::Broken, "broken" },
    EnumName<UpstreamCallEnd> { UpstreamCallEnd::Cut, "cut" },
    EnumName<UpstreamCallEnd> { UpstreamCallEnd::Silent, "silent" },
    EnumName<UpstreamCallEnd> { UpstreamCallEnd::CallerGone, "caller_gone" },
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
    MonotonicTime m_endsAt {}; // The caller's deadline or the route's time-out, whichever is first.
    bool m_callerGone = false;
    std::function<void()> m_cancelUpstream; // Set while a call to an upstream runs.
    std::optional<Milliseconds> m_firstPartAge; // When the first part of a stream went out.
    std::string m_lastEventId; // Of what the caller has got from this node.
    std::optional<WholeAnswer> m_keptFailure;
};

class UpstreamCaller {
public:
    UpstreamCaller(UpstreamConnections&, const Dialect&, RelayBoard&);

    // `silentAt` is when an upstream that has not begun to answer is given up.
    auto call(CallState&, CallerAnswer&, const UpstreamPointer&, MonotonicTime silentAt)
        -> Awaitable<UpstreamCallEnd>;

private:
    auto exchange(CallState&, CallerAnswer&, const UpstreamPointer&, UpstreamConnectionPointer,
        MonotonicTime silentAt) -> Awaitable<UpstreamCallEnd>;
    auto noteReach(Upstream&, UpstreamCallEnd, bool refused) -> void;
    auto noteMissing(const std::string& adapter, Upstream&, MonotonicTime now) -> void;
    auto noteRefusal(const CallState&, Upstream&, const UpstreamAnswer&) -> void;

    UpstreamConnections& m_connections;
    const Dialect& m_dialect;
    RelayBoard& m_board;
};

} // namespace marigoldladder::relay
