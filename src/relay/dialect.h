// The header fields of callers' requests and upstreams' answers, independent of the fields' names.
#pragma once

#include "relay/upstream.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldladder::relay {

using HeaderFields = boost::beast::http::fields;

// Identifies a part of a prompt. Prompts with a common beginning have their first parts in common.
using PromptPartId = std::uint64_t;

// Parts of one prompt that are read; further ones are ignored.
inline constexpr auto maxPromptParts = std::size_t { 16 };

// What a request's header fields state.
struct CallerRequest {
    std::string m_id; // Unique for each attempt of the caller.
    std::string m_key; // API key; empty: none was sent.
    std::optional<Milliseconds> m_timeout; // How long the caller waits for the answer.
    std::string m_model; // Empty for plain services.
    std::string m_adapter; // `model/adapter`; empty: the base model.
    bool m_hasTokenCounts = false;
    double m_promptTokens = 0;
    double m_outputTokens = 0; // At most.
    std::string m_lastEventId; // A stream is resumed after this event; empty: it begins anew.
    std::string m_resumedId; // Of the attempt that brought the first event of a resumed stream.
    // The parts of the prompt that other requests may have too, without duplicates. The last part, which only
    // this request or its session has, is left out.
    std::vector<PromptPartId> m_sharedParts;
};

// What this node adds to a request when it sends it to an upstream.
struct Dispatch {
    UpstreamName m_upstream; // An upstream of another name must refuse the request.
    OrganisationName m_organisation; // Empty on routes open to all.
    Milliseconds m_timeLeft { 0 };
    int m_priority = 5; // From 0, the most urgent, to 9.
    std::optional<std::uint64_t> m_adapterVersion; // Other versions must be refused.
    std::string m_lastEventId; // Replaces the caller's unless empty.
};

// What an upstream says of itself in the head of any of its answers.
struct UpstreamNotices {
    bool m_leaving = false; // It is about to exit and wants no new requests.
    std::optional<Milliseconds> m_coldLeft; // Remaining time of its cold start.
    // Requests a second that it takes from all nodes together while its answers say so.
    std::optional<double> m_requestLimit;
    // While its answers say so, it and the others of its pool fall over when they refuse more requests in a
    // second.
    std::optional<double> m_refusalsPerSecond;
    // It refused this request, and wants none from this node for so long.
    std::optional<Milliseconds> m_retryAfter;
};

// What the header fields of an upstream's answer state.
struct UpstreamAnswer {
    std::string m_requestId; // The request that it answers; empty: not stated.
    bool m_notRun = false; // The upstream refused the request and will not run it.
    bool m_instanceMismatch = false; // Refused because the upstream or its adapter isn't the requested one.
    std::string m_instance; // The upstream's name; empty: not stated.
    UpstreamNotices m_notices;
};

// The question which run of an upstream answers on a connection.
using RunRequest = boost::beast::http::request<boost::beast::http::empty_body>;

// What an upstream's answer says of the run that gave it.
struct RunAnswer {
    bool m_isAnswer = false; // It answers the question; else it may belong to anything.
    std::optional<std::uint64_t> m_startedAt; // In Unix milliseconds; empty: the upstream states no run.
};

// Translates between messages and the structs above.
struct Dialect {
    std::function<CallerRequest(const HeaderFields&)> m_readRequest;
    // Removes the fields that upstreams must not receive and adds those of the dispatch.
    std::function<void(HeaderFields&, const Dispatch&)> m_prepareForUpstream;
    std::function<UpstreamAnswer(unsigned status, const HeaderFields&)> m_readAnswer;
    std::function<RunRequest(const UpstreamName&)> m_askRun;
    std::function<RunAnswer(unsigned status, const HeaderFields&, std::string_view body)> m_readRun;
};

// Removes the fields that apply to a single connection (hop-by-hop headers) and Content-Length.
auto removeConnectionFields(HeaderFields&) -> void;

} // namespace marigoldladder::relay
