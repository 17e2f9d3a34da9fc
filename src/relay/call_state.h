// A caller's request on its way through this node.
#pragma once

#include "relay/crash_evidence.h"
#include "relay/dialect.h"
#include "relay/routing_configuration.h"
#include "relay/upstream.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace marigoldladder::relay {

// An upstream's answer with its whole body.
struct WholeAnswer {
    unsigned m_status = 0;
    HeaderFields m_fields;
    std::string m_body;
};

// What was known of the adapter's versions when a request was sent.
struct SentVersions {
    std::optional<std::uint64_t> m_held; // The engine's, in this node's view; empty: no adapter is needed.
    std::optional<std::uint64_t> m_stated; // The engine must refuse any other; empty: it may be any.
    MonotonicTime m_sentAt {}; // When the request was sent, or the call began if it wasn't sent.
};

// One call to an upstream, as far as it has come.
struct CallProgress {
    MonotonicTime m_lastHeardAt {}; // When the upstream last sent bytes; before that, when it was called.
    bool m_answerBegan = false; // The upstream sent an event, or a whole answer.
    SentVersions m_versions;
    SoftwareId m_software = 0; // Of the upstream.
    std::optional<std::uint64_t>
        m_runStartedAt; // As the upstream states it; 0: it doesn't. Empty: not asked.
    std::optional<VmName> m_via; // The peer that carries it; empty: it is direct.
    RoomEnd m_roomEnd = RoomEnd::Unknown; // What it showed of the upstream's room.
};

// A caller's request and the progress of its answer.
struct CallState : std::enable_shared_from_this<CallState> {
    boost::beast::http::request<boost::beast::http::string_body> m_message;
    CallerRequest m_request;
    std::shared_ptr<const RoutingConfiguration> m_configuration; // In force when it arrived.
    const Route* m_route = nullptr; // In that configuration.
    OrganisationName m_organisation;
    int m_priority = 0;
    std::vector<Suspect> m_suspects; // What it has that may crash upstreams.
    MonotonicTime m_arrivedAt {};
    MonotonicTime m_deadline {}; // The caller's deadline or the route's timeout, whichever is earlier.
    bool m_callerDisconnected = false;
    // Numbers of the connections on which it was sent. A late second copy of an upstream's refusal bears its
    // id too, so it isn't sent twice on one.
    std::vector<std::uint64_t> m_usedConnections;
    // Asked before more of an answer is kept, with all that it takes, in bytes.
    std::function<bool(std::size_t)> m_mayHoldAnswer = [](std::size_t) { return true; };
    std::function<void()> m_cancelUpstream; // Set while a call to an upstream runs.
    std::optional<Milliseconds> m_timeToFirstPart; // From arrival to the first part of a stream.
    MonotonicTime m_lastPartAt {}; // When the last part of a stream was there; zero: none was.
    CallProgress m_call; // The call made last.
    std::optional<SoftwareId> m_origin; // The software that began the stream; empty: it hasn't begun.
    std::string m_lastEventId; // Of the last event sent to the caller by this node.
    std::optional<WholeAnswer> m_upstreamFailure; // Sent to the caller if no retry succeeds.
};

} // namespace marigoldladder::relay
