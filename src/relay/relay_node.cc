#include "relay/relay_node.h"

#include "core/log.h"
#include "relay/generated/peer_messages_generated.h"
#include "relay/request_limit_report.h"
#include "relay/taken_up_stream.h"

#include <boost/asio/co_spawn.hpp>
#include <csignal>

namespace marigoldladder::relay {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr auto okStatus = 200U;
    constexpr auto connectionExpiryInterval = Milliseconds(500);
    constexpr auto exitMargin = Milliseconds(400); // The process exits this long before it would be killed.
    constexpr auto usualRequestTime = Milliseconds(2'500); // In which most requests that aren't streams end.
    constexpr auto stopPollInterval = Milliseconds(50);

    // A port may still be held by a process that hasn't ended yet, or by a connection that got its number:
    // the kernel keeps a closed one for 60 s.
    constexpr auto portWaitTime = Milliseconds(90'000);
    constexpr auto portRetryInterval = Milliseconds(250);
    constexpr auto startFailureCode = 1;

    // Callers cache addresses and keep connections open, so a stopping node goes on serving for this long
    // before it closes idle connections.
    constexpr auto addressLifetime = Milliseconds(3'000);

} // namespace

RelayNode::RelayNode(
    net::io_context& context, const RelaySettings& settings, const RelayDeployment& deployment)
    : m_context(context)
    , m_settings(settings)
    , m_deployment(deployment)
    , m_incarnation(makeIncarnation())
    , m_peerSocket(context.get_executor())
    , m_allowances(context.get_executor(), settings, m_board, m_peerSocket, m_incarnation)
    , m_waitList(context.get_executor(), m_board, settings)
    , m_connector(context.get_executor(), settings, m_board)
    , m_connections(context.get_executor(), m_board, m_connector)
    , m_upstreamCaller(m_connections, deployment.m_dialect, m_board)
    , m_crashWatch(context.get_executor(), settings, m_board, m_connector)
    , m_requestLimits(context.get_executor(), settings, m_board, m_peerSocket, m_incarnation)
    , m_rooms(context.get_executor(), settings, m_board, m_peerSocket, m_incarnation)
    , m_software(context.get_executor(), settings, m_board, deployment.m_store)
    , m_origins(context.get_executor(), m_board, m_peerSocket, m_software, m_incarnation)
    , m_runner(context.get_executor(), settings, m_board, m_allowances, m_waitList, m_requestLimits, m_rooms,
          m_origins, m_upstreamCaller, m_crashWatch, deployment.m_dialect)
    , m_callerServer(context.get_executor(), capacityOf(settings), m_board, m_runner, m_waitList)
    , m_readiness(context.get_executor(), capacityOf(settings), m_board.m_metrics,
          [this](const std::string& target) { return m_deployment.m_answerReadiness(target, isReady()); })
    , m_directory(context.get_executor(), capacityOf(settings), m_board.m_metrics,
          [this](const std::string& target) {
              return m_deployment.m_answerAddresses(target, callerAddresses());
          })
    , m_metrics(context.get_executor(), capacityOf(settings), m_board.m_metrics,
          [this](const std::string&) {
              return SimpleHttpAnswer { okStatus, "text/plain; version=0.0.4",
                  m_board.m_metrics.formatForPrometheus() };
          })
    , m_cacheExchange(context.get_executor(), capacityOf(settings), m_board.m_objects)
    , m_tunnels(context.get_executor(), settings, m_board)
    , m_peerServer(
          context.get_executor(), capacityOf(settings), m_board.m_metrics,
          [this](std::shared_ptr<tcp_stream> stream, std::string message) {
              return m_cacheExchange.serve(std::move(stream), std::move(message));
          },
          [this](std::shared_ptr<tcp_stream> stream, std::string message) {
              return m_tunnels.serve(std::move(stream), std::move(message));
          })
    , m_storeSync(
          context.get_executor(), settings, m_board, deployment.m_store, deployment.m_schema, m_cacheExchange)
    , m_peers(context.get_executor(), settings, m_board, deployment.m_store, m_peerSocket, m_incarnation)
    , m_digests(context.get_executor(), settings, m_board, m_peerSocket, m_incarnation)
    , m_orders(context.get_executor(), settings, m_board, deployment.m_store, deployment.m_engines, m_peers)
    , m_signals(context)
{
    m_board.m_capacityChanged = [this] { m_waitList.scheduleRecheck(); };
    m_board.m_storeChangeReceived = [this] { m_peers.scheduleSendToAll(); };
    m_board.m_upstreamUnreachable = [this](const Upstream& upstream) {
        logChange("upstream_unreachable", { { "upstream", upstream.m_record.m_name.value() } });
        m_peers.scheduleSendToAll();
        m_board.m_adapterWanted();
    };
    m_board.m_strandedChanged = [this] { m_peers.scheduleSendToAll(); };
    m_board.m_requestLimitChanged = [this](const Upstream& upstream) {
        const auto& limit = upstream.m_requestLimit.m_limit.m_requestsPerSecond;
        logChange("request_limit_changed",
            { { "upstream", upstream.m_record.m_name.value() },
                { "requests_per_second", limit ? std::to_string(*limit) : "none" } });
        m_peers.scheduleSendToAll();
    };
    m_board.m_versionAnnounced = [this](const std::string& adapter, MonotonicTime requiredFrom) {
        const auto wait = std::chrono::ceil<Milliseconds>(requiredFrom - Clock::now());
        runAfter(m_context.get_executor(), "outdated_calls", m_board.m_metrics,
            std::max(wait, Milliseconds(0)), [this, adapter] {
                takeBackOutdated(
                    m_board.m_callsInProgress, m_board.m_upstreams.m_versions, adapter, Clock::now());
            });
    };
    m_board.m_streamBegan = [this](const CallState& state) {
        if (const auto stream = streamKeyOf(state))
            m_origins.noteBegan(*stream, *state.m_origin);
    };
    m_board.m_storeRestored = [this] { m_peers.registerAgain(); };
    m_board.m_crashEvidenceChanged = [this] { m_peers.scheduleSendToAll(); };
    m_board.m_adapterWanted = [this] {
        if (m_board.m_orders.m_holdsLease)
            m_orders.planSoon();
        else
            m_peers.sendToHolder();
    };
}

auto RelayNode::isReady() const -> bool
{
    return m_board.m_configuration && m_storeSync.hasAllKinds() && !m_board.m_leaving;
}

auto RelayNode::callerAddresses() const -> std::vector<Address>
{
    const auto self = isReady() ? std::optional(m_settings.m_callerAddress) : std::nullopt;
    return readyAddresses(m_board.m_fleet, self, Clock::now());
}

auto RelayNode::run() -> int
{
    awaitSignals();
    net::co_spawn(m_context, start(), [this](const std::exception_ptr& exception) {
        if (!exception)
            return;
        recordFailure("start", m_board.m_metrics, exception);
        m_exitCode = startFailureCode;
        m_context.stop();
    });
    runEvents();
    closePorts();
    logChange("stopped");
    return m_exitCode;
}

// While the kernel ends the process, which takes it hundreds of milliseconds on a busy machine, connections
// would wait in queues that nobody reads.
auto RelayNode::closePorts() -> void
{
    m_callerServer.stopListening();
    m_readiness.stopListening();
    m_directory.stopListening();
    m_metrics.stopListening();
    m_peerServer.stopListening();
}

auto RelayNode::noteThrownEvent() noexcept -> void
{
    try {
        recordFailure("event", m_board.m_metrics, std::current_exception());
    } catch (...) {
        m_board.m_metrics.add(Counter::InternalFailures); // There is no memory for a line.
    }
}

// An exception that leaves a handler costs what that handler was to do, not the requests of all others.
auto RelayNode::runEvents() -> void
{
    for (;;) {
        try {
            m_context.run();
            return;
        } catch (...) {
            noteThrownEvent();
        }
    }
}

auto RelayNode::start() -> Awaitable<void>
{
    const auto opened = co_await openPorts();
    if (!opened) {
        logWarning("start_failed", { { "reason", "a port was held for too long" } });
        m_exitCode = startFailureCode;
        m_context.stop();
        co_return;
    }
    logChange("started", { { "vm", m_settings.m_vm.value() } });
    m_storeSync.start();
    const auto executor = m_context.get_executor();
    const auto ready = [this] { return isReady(); };
    m_peers.start(ready);
    m_digests.start(ready);
    m_allowances.start(ready);
    m_requestLimits.start(ready);
    m_rooms.start(ready);
    m_origins.start();
    m_orders.start(ready);
    runLoop(executor, "open_metrics_port", m_board.m_metrics, [this] { return openMetricsPort(); });
    runLoop(executor, "expired_connections", m_board.m_metrics, [this] { return closeExpiredConnections(); });
}

auto RelayNode::openWithin(Milliseconds time, std::function<bool()> open) -> Awaitable<bool>
{
    const auto until = Clock::now() + time;
    while (!open()) {
        if (Clock::now() >= until)
            co_return false;
        co_await sleepFor(portRetryInterval);
    }
    co_return true;
}

auto RelayNode::openPorts() -> Awaitable<bool>
{
    const auto handle = [this](const messages::Datagram& datagram, std::string_view bytes,
                            const Address& from) { handleDatagram(datagram, bytes, from); };
    const auto opens = std::vector<std::function<bool()>> {
        [this] { return m_callerServer.listen(m_settings.m_callerAddress); },
        [this] { return m_readiness.listen(m_settings.m_readinessAddress); },
        [this] { return m_directory.listen(m_settings.m_directoryAddress); },
        [this, handle] { return m_peerSocket.open(m_settings.m_peerAddress, m_board.m_metrics, handle); },
        [this] { return m_peerServer.listen(m_settings.m_peerAddress); },
    };
    for (const auto& open : opens) {
        const auto opened = co_await openWithin(portWaitTime, open);
        if (!opened)
            co_return false;
    }
    co_return true;
}

// A node without metrics still serves, so it doesn't end for want of their port.
auto RelayNode::openMetricsPort() -> Awaitable<void>
{
    (void)co_await openWithin(portWaitTime, [this] { return m_metrics.listen(m_settings.m_metricsAddress); });
}

auto RelayNode::handleDatagram(
    const messages::Datagram& datagram, std::string_view bytes, const Address& from) -> void
{
    if (const auto* summary = datagram.message_as_Summary())
        handleSummary(*summary, bytes, from);
    else if (const auto* digest = datagram.message_as_Digest())
        m_digests.apply(*digest, bytes, from);
    else if (const auto* request = datagram.message_as_ChargeRequest())
        m_allowances.handle(*request, from);
    else if (const auto* answer = datagram.message_as_ChargeAnswer())
        m_allowances.handle(*answer);
    else if (const auto* refund = datagram.message_as_Refund())
        m_allowances.handle(*refund);
    else if (const auto* permitRequest = datagram.message_as_PermitRequest())
        m_requestLimits.handle(*permitRequest, from);
    else if (const auto* permitAnswer = datagram.message_as_PermitAnswer())
        m_requestLimits.handle(*permitAnswer);
    else if (const auto* roomRequest = datagram.message_as_RoomRequest())
        m_rooms.handle(*roomRequest, from);
    else if (const auto* roomAnswer = datagram.message_as_RoomAnswer())
        m_rooms.handle(*roomAnswer);
    else if (const auto* roomReport = datagram.message_as_RoomReport())
        m_rooms.handle(*roomReport, from);
    else if (const auto* roomReceipt = datagram.message_as_RoomReceipt())
        m_rooms.handle(*roomReceipt);
    else if (const auto* notice = datagram.message_as_OriginNotice())
        m_origins.handle(*notice);
    else if (const auto* question = datagram.message_as_OriginQuestion())
        m_origins.handle(*question, from);
    else if (const auto* originAnswer = datagram.message_as_OriginAnswer())
        m_origins.handle(*originAnswer);
}

// A summary with orders that arrives directly from another data centre is forwarded to the nodes of this one.
auto RelayNode::handleSummary(const messages::Summary& summary, std::string_view bytes, const Address& from)
    -> void
{
    const auto isNew = m_peers.apply(summary);
    const auto hasOrders = summary.orders() && summary.orders()->size() > 0;
    if (!isNew || !hasOrders || isSmallFleet(m_board.m_fleet))
        return;
    const auto isRemote
        = summary.data_centre() && summary.data_centre()->str() != m_settings.m_dataCentre.value();
    const auto isDirect = summary.peer_host() && summary.peer_host()->str() == from.m_host
        && summary.peer_port() == from.m_port;
    if (isRemote && isDirect)
        m_digests.forwardToLocalPeers(bytes);
}

auto RelayNode::closeExpiredConnections() -> Awaitable<void>
{
    for (;;) {
        co_await sleepFor(connectionExpiryInterval);
        m_connections.closeExpired(Clock::now());
        m_connector.tryBlockedPaths();
    }
}

auto RelayNode::awaitSignals() -> void
{
    m_signals.add(SIGTERM);
    m_signals.add(SIGHUP);
    m_signals.async_wait([this](ErrorCode error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP) {
            awaitSignals();
            logChange("settings_changed");
            return;
        }
        runLoop(m_context.get_executor(), "stop", m_board.m_metrics, [this] { return stopWhenIdle(); });
    });
}

auto RelayNode::stopWhenIdle() -> Awaitable<void>
{
    logChange("stopping");
    m_board.m_leaving = true;
    m_peers.sendToAll();
    // Kept when this task begins again.
    if (m_board.m_exitsAt == MonotonicTime())
        m_board.m_exitsAt = Clock::now() + m_settings.m_bounds.m_stopTime - exitMargin;
    const auto exitsAt = m_board.m_exitsAt;
    const auto closesAt = exitsAt + exitMargin - m_settings.m_bounds.m_stopTime + addressLifetime;
    while (Clock::now() < exitsAt) {
        co_await sleepFor(stopPollInterval);
        if (Clock::now() < closesAt)
            continue;
        m_board.m_acceptsStreams = false;
        m_board.m_acceptsRequests = Clock::now() < exitsAt - usualRequestTime;
        m_callerServer.closeIdle();
        if (m_board.m_requestsInFlight == 0 && m_callerServer.connections() == 0 && m_board.m_tunnels == 0)
            break;
    }
    m_context.stop();
}

} // namespace marigoldladder::relay
