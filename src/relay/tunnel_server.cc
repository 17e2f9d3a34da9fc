#include "relay/tunnel_server.h"

#include "core/log.h"
#include "relay/own_links.h"
#include "relay/task.h"
#include "relay/tunnel_messages.h"
#include "relay/upstream_choice.h"

#include <algorithm>
#include <array>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>

namespace marigoldladder::relay {

namespace {

    constexpr auto connectTimeout
        = Milliseconds(250); // Below the time in which the other node wants an answer.
    constexpr auto answerTimeout = Milliseconds(500);
    constexpr auto deadPeerTimeout
        = Milliseconds(2'000); // Of a node that became unreachable without closing.
    constexpr auto bufferBytes = std::size_t { 8 } << 10; // Of one direction.
    constexpr auto smallestIdentifiedMessage = std::size_t { 8 };

    constexpr auto descriptorsPerTunnel = std::size_t { 2 };
    constexpr auto descriptorShare = std::size_t { 3 }; // One in so many may be of tunnels.

    // Whether the connection comes from the machine of a live node of this name.
    auto isFromPeer(const FleetView& fleet, const VmName& vm, tcp_stream& node) -> bool
    {
        auto error = ErrorCode();
        const auto host = node.socket().remote_endpoint(error).address().to_string();
        const auto found = fleet.m_peers.find(vm);
        return !error && found != fleet.m_peers.end() && found->second.m_peerAddress.m_host == host
            && isAlive(found->second, std::chrono::steady_clock::now());
    }

    auto encode(messages::TunnelOutcome outcome) -> std::string
    {
        auto builder = flatbuffers::FlatBufferBuilder();
        builder.Finish(messages::CreateTunnelAnswer(builder, outcome), tunnelAnswerIdentifier);
        return frameOf(builder);
    }

    // Ends a connection so that its other end can't take what it got for whole.
    auto reset(tcp_stream& stream) -> void
    {
        resetOnClose(stream.socket());
        stream.close();
    }

    enum class CarryEnd {
        Closed, // By the sending end.
        Broken, // At the sending end.
        NotTaken, // The receiving end takes no bytes any more.
    };

    // Passes bytes on until one end closes or breaks.
    auto carry(std::shared_ptr<tcp_stream> from, std::shared_ptr<tcp_stream> to) -> Awaitable<CarryEnd>
    {
        auto bytes = std::array<char, bufferBytes>();
        for (;;) {
            auto error = ErrorCode();
            const auto length = co_await from->async_read_some(net::buffer(bytes), errorTo(error));
            if (error)
                co_return error == net::error::eof ? CarryEnd::Closed : CarryEnd::Broken;
            co_await net::async_write(*to, net::buffer(bytes.data(), length), errorTo(error));
            if (error)
                co_return CarryEnd::NotTaken;
        }
    }

    auto carryRequests(std::shared_ptr<tcp_stream> node, std::shared_ptr<tcp_stream> upstream)
        -> Awaitable<void>
    {
        const auto end = co_await carry(node, upstream);
        // An upstream may answer before it has taken a whole request, and that answer is still carried.
        if (end == CarryEnd::NotTaken)
            co_return;
        upstream->close();
        node->close();
    }

    auto carryAnswers(std::shared_ptr<tcp_stream> upstream, std::shared_ptr<tcp_stream> node)
        -> Awaitable<void>
    {
        const auto end = co_await carry(upstream, node);
        if (end != CarryEnd::Closed) {
            reset(*node);
            upstream->close();
            co_return;
        }
        // The node reads the rest and closes.
        auto ignored = ErrorCode();
        node->socket().shutdown(net::ip::tcp::socket::shutdown_send, ignored);
    }

    class OpenTunnel {
    public:
        explicit OpenTunnel(RelayBoard& board)
            : m_board(board)
        {
            ++m_board.m_tunnels;
        }
        ~OpenTunnel() { --m_board.m_tunnels; }
        OpenTunnel(const OpenTunnel&) = delete;
        auto operator=(const OpenTunnel&) -> OpenTunnel& = delete;

    private:
        RelayBoard& m_board;
    };

} // namespace

auto isTunnelRequest(const std::string& message) -> bool
{
    return message.size() >= smallestIdentifiedMessage
        && flatbuffers::BufferHasIdentifier(message.data(), tunnelRequestIdentifier);
}

TunnelServer::TunnelServer(Executor executor, const RelaySettings& settings, RelayBoard& board)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_board(board)
{
}

auto TunnelServer::findUpstream(const std::string& message, tcp_stream& node) const -> UpstreamPointer
{
    const auto* request = parseFrame<messages::TunnelRequest>(message, tunnelRequestIdentifier);
    if (!request || !request->upstream() || !request->vm() || m_board.m_leaving)
        return nullptr;
    if (!isFromPeer(m_board.m_fleet, VmName(request->vm()->str()), node))
        return nullptr;
    if (m_board.m_tunnels * descriptorsPerTunnel * descriptorShare > m_settings.m_maxDescriptors)
        return nullptr;
    const auto& table = m_board.m_upstreams;
    const auto found = table.m_upstreams.find(UpstreamName(request->upstream()->str()));
    if (found == table.m_upstreams.end() || !acceptsNewRequests(table, *found->second))
        return nullptr;
    // A tunnel that would lead on through a third node isn't opened.
    const auto blocked = isPathBlocked(m_board.m_ownLinks, *found->second, table.m_upstreams.size());
    return blocked ? nullptr : found->second;
}

auto TunnelServer::serve(std::shared_ptr<tcp_stream> node, std::string message) -> Awaitable<void>
{
    const auto open = OpenTunnel(m_board);
    auto upstream = std::make_shared<tcp_stream>(m_executor);
    auto outcome = messages::TunnelOutcome::NotReached;
    if (const auto target = findUpstream(message, *node)) {
        auto error = ErrorCode();
        co_await connectTo(*upstream, target->m_record.m_address, connectTimeout, error);
        if (!error)
            outcome = messages::TunnelOutcome::Opened;
        else if (error == net::error::connection_refused)
            outcome = messages::TunnelOutcome::Refused;
    }
    auto error = ErrorCode();
    const auto answer = encode(outcome);
    node->expires_after(answerTimeout);
    co_await net::async_write(*node, net::buffer(answer), errorTo(error));
    if (error || outcome != messages::TunnelOutcome::Opened)
        co_return;
    node->expires_never();
    upstream->expires_never();
    node->socket().set_option(net::ip::tcp::no_delay(true), error); // Events must not wait for each other.
    setDeadPeerTimeout(node->socket(), deadPeerTimeout);
    resetOnClose(upstream->socket());
    m_board.m_metrics.add(Counter::TunnelsCarried);
    runTask(m_executor, "tunnel_answers", m_board.m_metrics, carryAnswers(upstream, node));
    co_await carryRequests(node, upstream);
}

} // namespace marigoldladder::relay
