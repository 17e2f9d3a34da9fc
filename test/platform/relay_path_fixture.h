// A node with a configuration and fake upstreams, for tests of requests through it.
#pragma once

#include "platform/relay_harness.h"

#include <array>
#include <cstdio>
#include <gtest/gtest.h>

namespace marigoldladder::platform {

// Returns an upstream's function that answers every request with 200 and this body.
inline auto answerWith(const std::string& body)
{
    return [body](const UpstreamRequest& request) { return UpstreamReply { answerTo(request, 200, body) }; };
}

// Returns the head of a stream. `framing` is a header line, or empty if the stream ends with its connection.
inline auto streamHead(const UpstreamRequest& request, const std::string& stamp,
    const std::string& framing = "Transfer-Encoding: chunked\r\n") -> std::string
{
    return "HTTP/1.1 200 OK\r\nX-Marigoldladder-Request-Id: "
        + std::string(request["X-Marigoldladder-Request-Id"]) + "\r\nX-Marigoldladder-Server-Stamp: " + stamp
        + "\r\nContent-Type: text/event-stream\r\n" + framing + "\r\n";
}

// Returns one chunk of a chunked body.
inline auto chunk(const std::string& data) -> std::string
{
    auto length = std::array<char, 16>();
    std::snprintf(length.data(), length.size(), "%zx", data.size());
    return std::string(length.data()) + "\r\n" + data + "\r\n";
}

class RelayPathTest : public testing::Test {
protected:
    auto configure(std::uint64_t version = 1) -> void
    {
        m_relay.put("config", "main", testConfiguration(version));
        ASSERT_TRUE(m_relay.eventually([&] { return m_relay.readiness() == 200; }));
    }

    auto addUpstream(const std::string& name, std::function<UpstreamReply(const UpstreamRequest&)> reply)
        -> void
    {
        m_relay.addUpstream(name, "pool", std::move(reply));
    }

    RelayHarness m_relay;
};

} // namespace marigoldladder::platform
