#include "relay/upstream_connector.h"

#include "core/log.h"
#include "relay/connection_deadline.h"
#include "relay/task.h"
#include "relay/tunnel_messages.h"

#include <boost/asio/write.hpp>

namespace marigoldladder::relay {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr auto peerConnectTimeout = Milliseconds(150); // Peers are few milliseconds away.
    constexpr auto peerAnswerTimeout = Milliseconds(350); // In which the peer connects to the upstream.
    constexpr auto askTime = Milliseconds(400); // After it no further peer is asked.
    constexpr auto maxTries = 4; // Of blocked paths at once.
    constexpr auto retryTimeout = Milliseconds(700); // Of a direct attempt beside the requests.
    constexpr auto noTunnelTime = Milliseconds(1'000); // After peers didn't reach an upstream.
    // What this node saw of the upstream, it saw of its own link.
    auto forgetFailures(Upstream& upstream) -> void
    {
        upstream.m_health = {};
        upstream.m_reachability = {};
        upstream.m_mayHaveRestarted = false;
    }

    auto connectOutcomeOf(const std::string& message) -> ConnectOutcome
    {
        const auto* answer = parseFrame<messages::TunnelAnswer>(message, tunnelAnswerIdentifier);
        if (!answer)
            return ConnectOutcome::NotReached;
        switch (answer->outcome()) {
        case messages::TunnelOutcome::Opened:
            return ConnectOutcome::Connected;
        case messages::TunnelOutcome::Refused:
            return ConnectOutcome::Refused;
        case messages::TunnelOutcome::NotReached:
            return ConnectOutcome::NotReached;
        }
        return ConnectOutcome::NotReached;
    }

} // namespace

UpstreamConnector::UpstreamConnector(Executor executor, const RelaySettings& settings, RelayBoard& board)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_board(board)
    , m_random(std::random_device()())
{
}

// A connection through a peer is left once this node's own path is open.
auto UpstreamConnector::mayUse(const Upstream& upstream, const std::optional<VmName>& via) const -> bool
{
    const auto blocked = isPathBlocked(m_board, upstream);
    if (via)
        return blocked && isCarrier(*via);
    return !blocked || !m_board.m_ownLinks.m_areSilent;
}

auto UpstreamConnector::isCarrier(const VmName& vm) const -> bool
{
    const auto found = m_board.m_fleet.m_peers.find(vm);
    return found != m_board.m_fleet.m_peers.end() && mayCarryTunnels(found->second, Clock::now());
}

auto UpstreamConnector::connect(tcp_stream& stream, UpstreamPointer upstream, Milliseconds timeout)
    -> Awaitable<ConnectResult>
{
    const auto wasBlocked = isPathBlocked(m_board, *upstream);
    auto error = ErrorCode();
    if (!wasBlocked) {
        error = co_await connectDirectly(stream, upstream, timeout);
        if (!error)
            co_return ConnectResult { ConnectOutcome::Connected, std::nullopt };
        stream.close();
    }
    auto result = co_await openTunnel(stream, upstream);
    if (result.m_via && !wasBlocked)
        noteBlocked(*upstream, error, *result.m_via);
    // Without another node's word, this node's own has to do.
    const auto wasRefused = error == net::error::connection_refused || error == net::error::connection_reset;
    if (result.m_outcome == ConnectOutcome::NotReached && wasRefused) {
        result.m_outcome = ConnectOutcome::Refused;
        result.m_nobodyListens = error == net::error::connection_refused;
    }
    co_return result;
}

auto UpstreamConnector::connectDirectly(
    tcp_stream& stream, const UpstreamPointer& upstream, Milliseconds timeout) -> Awaitable<ErrorCode>
{
    auto error = ErrorCode();
    m_board.m_metrics.add(Counter::UpstreamConnects);
    co_await connectTo(stream, upstream->m_record.m_address, timeout, error);
    if (!error) {
        resetOnClose(stream.socket());
        noteReached(*upstream);
    }
    co_return error;
}

auto UpstreamConnector::openTunnel(tcp_stream& stream, const UpstreamPointer& upstream)
    -> Awaitable<ConnectResult>
{
    if (upstream->m_noTunnelUntil > Clock::now())
        co_return ConnectResult();
    const auto peers = tunnelPeersFor(*upstream, m_board.m_fleet, m_settings, m_random(), Clock::now());
    const auto begun = Clock::now();
    auto result = ConnectResult();
    for (const auto& peer : peers) {
        if (Clock::now() >= begun + askTime)
            break;
        const auto outcome = co_await askPeer(stream, *upstream, peer);
        if (outcome == ConnectOutcome::Connected) {
            upstream->m_noTunnelUntil = {};
            m_board.m_metrics.add(Counter::TunnelsOpened);
            co_return ConnectResult { outcome, peer.m_vm };
        }
        stream.close();
        // The peer may have lost its own links and not know yet, so the next one is asked too.
        if (outcome == ConnectOutcome::Refused)
            result = { outcome, std::nullopt, true };
    }
    if (result.m_outcome == ConnectOutcome::NotReached && !isStranded(m_board))
        upstream->m_noTunnelUntil = Clock::now() + noTunnelTime;
    co_return result;
}

auto UpstreamConnector::askPeer(tcp_stream& stream, const Upstream& upstream, const TunnelPeer& peer)
    -> Awaitable<ConnectOutcome>
{
    auto builder = flatbuffers::FlatBufferBuilder();
    const auto vm = builder.CreateString(m_settings.m_vm.value());
    const auto name = builder.CreateString(upstream.m_record.m_name.value());
    builder.Finish(messages::CreateTunnelRequest(builder, vm, name), tunnelRequestIdentifier);
    const auto request = frameOf(builder);
    auto error = ErrorCode();
    co_await connectFrom(stream, m_settings.m_peerAddress.m_host, peer.m_address, peerConnectTimeout, error);
    if (error)
        co_return ConnectOutcome::NotReached;
    const auto deadline = ConnectionDeadline(stream, Clock::now() + peerAnswerTimeout);
    co_await net::async_write(stream, net::buffer(request), errorTo(error));
    if (error)
        co_return ConnectOutcome::NotReached;
    const auto message = co_await readFrame(stream, peerAnswerTimeout, maxCallBytes);
    stream.expires_never();
    resetOnClose(stream.socket());
    co_return connectOutcomeOf(message);
}

auto UpstreamConnector::tryBlockedPaths() -> void
{
    auto tries = 0;
    for (const auto& [name, upstream] : m_board.m_upstreams.m_upstreams) {
        if (tries >= maxTries)
            return;
        if (!isPathBlocked(m_board, *upstream) || !beginTry(m_board.m_ownLinks, *upstream, Clock::now()))
            continue;
        ++tries;
        runTask(m_executor, "path_try", m_board.m_metrics, tryAgain(upstream));
    }
}

auto UpstreamConnector::tryAgain(UpstreamPointer upstream) -> Awaitable<void>
{
    auto stream = tcp_stream(m_executor);
    (void)co_await connectDirectly(stream, upstream, retryTimeout);
}

auto UpstreamConnector::noteReached(Upstream& upstream) -> void
{
    const auto wasStranded = isStranded(m_board);
    if (upstream.m_pathBlocked)
        logChange("upstream_path_open", { { "upstream", upstream.m_record.m_name.value() } });
    recordReached(m_board.m_ownLinks, upstream);
    noteWhetherStranded(wasStranded);
}

auto UpstreamConnector::noteBlocked(Upstream& upstream, ErrorCode error, const VmName& via) -> void
{
    const auto wasStranded = isStranded(m_board);
    if (!upstream.m_pathBlocked)
        logChange("upstream_path_blocked",
            { { "upstream", upstream.m_record.m_name.value() }, { "reason", error.message() },
                { "reached_through", via.value() } });
    recordBlocked(m_board.m_ownLinks, upstream, error == beast::error::timeout, Clock::now());
    forgetFailures(upstream);
    noteWhetherStranded(wasStranded);
}

auto UpstreamConnector::noteWhetherStranded(bool wasStranded) -> void
{
    const auto stranded = isStranded(m_board);
    if (stranded == wasStranded)
        return;
    logChange(stranded ? "stranded" : "no_longer_stranded",
        { { "blocked_paths", std::to_string(m_board.m_ownLinks.m_blocked.size()) } });
    for (const auto& [name, upstream] : m_board.m_upstreams.m_upstreams) {
        if (stranded)
            forgetFailures(*upstream);
    }
    m_board.m_strandedChanged();
    m_board.m_capacityChanged();
}

} // namespace marigoldladder::relay
