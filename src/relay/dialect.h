// What a caller's request and an upstream's answer say, whatever the names of their headers.
#pragma once

#include "relay/upstream.h"

#include <boost/beast/http/fields.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace marigoldladder::relay {

using HeaderFields = boost::beast::http::fields;

// The parts of a request's head that decide where it may run.
struct CallerRequest {
    std::string m_id; // One for each attempt of the caller.
    std::string m_key; // Empty: none came.
    std::optional<Milliseconds> m_timeout; // How long the caller waits.
    std::string m_model; // Empty for plain services.
    std::string m_adapter; // `model/adapter`; empty: the model alone.
    bool m_hasTokenCounts = false;
    double m_promptTokens = 0;
    double m_outputTokens = 0; // At most.
    std::string m_lastEventId; // A stream goes on after this event; empty: from its beginning.
};

// What this node adds to a request when it sends it to an upstream.
struct Dispatch {
    UpstreamName m_upstream; // Any other must refuse the request.
    OrganisationName m_organisation; // Empty on routes open to all.
    Milliseconds m_timeLeft { 0 };
    int m_priority = 5; // 0 is first, 9 last.
    std::optional<std::uint64_t> m_adapterVersion; // Any other version must be refused.
    std::string m_lastEventId; // Replaces the caller's when not empty.
};

// What an upstream's answer says beside its status and body.
struct UpstreamAnswer {
    std::string m_requestId; // The request it belongs to; empty: not said.
    bool m_notRun = false; // The upstream refused the request and will not run it.
    bool m_instanceMismatch
        = false; // Refused since the upstream, or what it has loaded, isn't what was asked.
    std::string m_instance; // The upstream's name, where it says so.
    std::optional<Milliseconds> m_coldLeft;
};

struct Dialect {
    std::function<CallerRequest(const HeaderFields&)> m_readRequest;
    // Takes out what upstreams must not see and adds what they must.
    std::function<void(HeaderFields&, const Dispatch&)> m_prepareForUpstream;
    std::function<UpstreamAnswer(unsigned status, const HeaderFields&)> m_readAnswer;
};

// Removes the fields that concern one connection only.
auto removeConnectionFields(HeaderFields&) -> void;

} // namespace marigoldladder::relay
