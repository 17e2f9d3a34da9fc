#include "relay/peer_server.h"

#include "relay/connection_deadline.h"
#include "relay/message_frames.h"
#include "relay/tunnel_server.h"

namespace marigoldladder::relay {

namespace {

    constexpr auto firstMessageTimeout = Milliseconds(1'000);

    // Returns the first message, empty if it doesn't arrive in time.
    auto readFirstMessage(tcp_stream& stream) -> Awaitable<std::string>
    {
        const auto deadline
            = ConnectionDeadline(stream, std::chrono::steady_clock::now() + firstMessageTimeout);
        co_return co_await readFrame(stream, firstMessageTimeout, maxCallBytes);
    }

} // namespace

PeerServer::PeerServer(const Executor& executor, const NodeCapacity& capacity, Metrics& metrics,
    PeerCallHandler serveChanges, PeerCallHandler serveTunnel)
    : m_metrics(metrics)
    , m_waiting(capacity.m_otherConnections, metrics)
    , m_serveChanges(std::move(serveChanges))
    , m_serveTunnel(std::move(serveTunnel))
    , m_acceptor(executor)
{
}

auto PeerServer::listen(const Address& address) -> bool
{
    return serveConnections(m_acceptor, address, m_metrics,
        [this](net::ip::tcp::socket socket) { return serve(std::move(socket)); });
}

auto PeerServer::serve(net::ip::tcp::socket socket) -> Awaitable<void>
{
    auto stream = std::make_shared<tcp_stream>(std::move(socket));
    m_waiting.touch(stream);
    auto message = co_await readFirstMessage(*stream);
    m_waiting.remove(stream);
    if (message.empty())
        co_return;
    auto call = isTunnelRequest(message) ? m_serveTunnel(stream, std::move(message))
                                         : m_serveChanges(stream, std::move(message));
    co_await std::move(call);
}

} // namespace marigoldladder::relay
