// A small stand-in of the platform's replicas: one server that answers as the test tells it to.
#pragma once

#include "relay/tcp.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <string>
#include <vector>

namespace marigoldladder::platform {

using UpstreamRequest = boost::beast::http::request<boost::beast::http::string_body>;

// What the stand-in does with one request: the bytes that it sends, and whether it closes then.
struct UpstreamReply {
    std::string m_bytes;
    bool m_closes = false;
    bool m_resets = false; // With a reset instead of an orderly end.
};

class FakeUpstream {
public:
    FakeUpstream(boost::asio::io_context&, std::function<UpstreamReply(const UpstreamRequest&)>);

    auto address() const -> Address;
    auto requests() const -> const std::vector<UpstreamRequest>& { return m_requests; }

private:
    auto serve(boost::asio::ip::tcp::socket) -> relay::Awaitable<void>;

    boost::asio::io_context& m_context;
    std::function<UpstreamReply(const UpstreamRequest&)> m_reply;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<UpstreamRequest> m_requests;
};

} // namespace marigoldladder::platform
