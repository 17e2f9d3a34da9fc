// Makes small HTTP calls with whole bodies, over persistent connections.
#pragma once

#include "relay/tcp.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/verb.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace marigoldladder::relay {

struct HttpCall {
    boost::beast::http::verb m_method = boost::beast::http::verb::get;
    std::string m_target;
    std::string m_body; // JSON; empty: no body.
    boost::beast::http::fields m_fields; // Additional header fields.
    std::chrono::milliseconds m_timeout { 1'000 }; // From the connect's end to the answer's.
    std::uint64_t m_maxReplyBytes = std::uint64_t { 16 }
        << 20; // Of a body; larger than any page of a listing.
    // Asked directly before the call is written, which may be long after it was made; the call isn't sent if
    // it returns false. Empty: it may be sent.
    std::function<bool()> m_maySend;
};

struct HttpReply {
    unsigned m_status = 0;
    boost::beast::http::fields m_fields;
    std::string m_body;
};

enum class HttpCallFailure {
    NotSent, // No connection was established, or the call may not be sent; the server did not receive it.
    Unknown, // The connection failed or the call timed out; the server may have executed it.
};

using HttpResult
    = boost::outcome_v2::basic_result<HttpReply, HttpCallFailure, boost::outcome_v2::policy::all_narrow>;

// Calls one server. Concurrent calls use separate connections.
class HttpClient {
public:
    HttpClient(Executor, Address server);

    auto call(HttpCall) -> Awaitable<HttpResult>;
    auto server() const -> const Address& { return m_server; }

private:
    struct Connection {
        explicit Connection(const Executor&);
        tcp_stream m_stream;
        beast::flat_buffer m_buffer;
    };

    auto acquireIdle() -> std::unique_ptr<Connection>;
    auto exchange(Connection&, const HttpCall&, bool& reusable) -> Awaitable<HttpResult>;

    Executor m_executor;
    Address m_server;
    std::vector<std::unique_ptr<Connection>> m_idle;
};

} // namespace marigoldladder::relay
