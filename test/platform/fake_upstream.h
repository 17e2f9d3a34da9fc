// A fake of one of the platform's replicas: a server whose answers a test's function provides.
#pragma once

#include "relay/tcp.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace marigoldladder::platform {

using UpstreamRequest = boost::beast::http::request<boost::beast::http::string_body>;

// A field that the fake adds to each request: the number of the connection on which it arrived.
inline constexpr auto connectionNumberField = "Fake-Connection";

// A request with this field is answered before its body is read, and the connection ends then.
inline constexpr auto answersEarlyField = "Fake-Answers-Early";

// Bytes that are sent after a pause.
struct LaterBytes {
    std::chrono::milliseconds m_pause { 0 };
    std::string m_bytes;
};

// The response to one request: the bytes to send, and whether the connection is closed then.
struct UpstreamReply {
    std::string m_bytes;
    bool m_closes = false;
    bool m_resets = false; // Closes with a TCP reset.
    bool m_crashes = false; // The upstream closes its port and resets all its connections; nothing is sent.
    std::vector<LaterBytes> m_later {}; // Sent after `m_bytes`, before a close.
    bool m_crashesAfterwards = false; // The upstream crashes once all bytes have been sent.
    std::string m_endless {}; // Sent behind all else, again and again until the connection ends.
};

// Returns a function that answers calls for a report by itself and passes all others on. The report states
// the start of the upstream's run; without one, the upstream knows no reports. Used on the upstream's event
// loop.
auto withReport(std::shared_ptr<const std::optional<std::uint64_t>> startedAt,
    std::function<UpstreamReply(const UpstreamRequest&)>)
    -> std::function<UpstreamReply(const UpstreamRequest&)>;

class FakeUpstream {
public:
    FakeUpstream(boost::asio::io_context&, std::function<UpstreamReply(const UpstreamRequest&)>);

    auto address() const -> Address;
    auto requests() const -> const std::vector<UpstreamRequest>& { return m_requests; }

    // Resets all its connections, as the end of its process does. On the event loop.
    auto resetConnections() -> void;

private:
    auto serve(boost::asio::ip::tcp::socket) -> relay::Awaitable<void>;
    auto answer(relay::tcp_stream&, const UpstreamReply&) -> relay::Awaitable<relay::ErrorCode>;
    auto crash() -> void;

    boost::asio::io_context& m_context;
    std::function<UpstreamReply(const UpstreamRequest&)> m_reply;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<UpstreamRequest> m_requests;
    std::vector<std::weak_ptr<relay::tcp_stream>> m_connections; // Also closed ones.
};

} // namespace marigoldladder::platform
