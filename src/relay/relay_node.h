// Assembles the controllers of one relay node and runs them.
#pragma once

#include "relay/allowance_exchange.h"
#include "relay/caller_server.h"
#include "relay/digest_exchange.h"
#include "relay/order_controller.h"
#include "relay/peer_server.h"
#include "relay/simple_http_server.h"
#include "relay/store_sync.h"
#include "relay/tunnel_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace marigoldladder::relay {

// The deployment-specific parts of a node: headers, store, objects, engine calls and the answers to platform
// calls.
struct RelayDeployment {
    Dialect m_dialect;
    ObjectStore m_store;
    ObjectSchema m_schema;
    EngineCalls m_engines;
    // Answer HTTP calls for the node's readiness and for the addresses of ready nodes.
    std::function<SimpleHttpAnswer(const std::string& target, bool ready)> m_answerReadiness;
    std::function<SimpleHttpAnswer(const std::string& target, const std::vector<Address>& callerAddresses)>
        m_answerAddresses;
};

class RelayNode {
public:
    RelayNode(net::io_context&, const RelaySettings&, const RelayDeployment&);

    // Serves until the process receives SIGTERM. Returns its exit code: 1 if a port can't be opened
    // in time.
    auto run() -> int;

    // The node's state. Read it on the event loop's thread only.
    auto board() const -> const RelayBoard& { return m_board; }

private:
    auto isReady() const -> bool;
    auto openWithin(Milliseconds time, std::function<bool()> open) -> Awaitable<bool>;
    auto openPorts() -> Awaitable<bool>;
    auto openMetricsPort() -> Awaitable<void>;
    auto start() -> Awaitable<void>;
    auto handleDatagram(const messages::Datagram&, std::string_view bytes, const Address& from) -> void;
    auto handleSummary(const messages::Summary&, std::string_view bytes, const Address& from) -> void;
    auto callerAddresses() const -> std::vector<Address>;
    auto closeExpiredConnections() -> Awaitable<void>;
    auto awaitSignals() -> void;
    auto runEvents() -> void;
    auto closePorts() -> void;
    auto noteThrownEvent() noexcept -> void;
    auto stopWhenIdle() -> Awaitable<void>;

    net::io_context& m_context;
    const RelaySettings& m_settings;
    const RelayDeployment& m_deployment;
    RelayBoard m_board;
    Incarnation m_incarnation;
    PeerSocket m_peerSocket;
    AllowanceExchange m_allowances;
    WaitList m_waitList;
    UpstreamConnector m_connector;
    UpstreamConnectionPool m_connections;
    UpstreamCaller m_upstreamCaller;
    CrashWatch m_crashWatch;
    RequestLimitExchange m_requestLimits;
    RoomExchange m_rooms;
    SoftwareWatch m_software;
    StreamOriginExchange m_origins;
    RequestRunner m_runner;
    CallerServer m_callerServer;
    SimpleHttpServer m_readiness;
    SimpleHttpServer m_directory;
    SimpleHttpServer m_metrics;
    CacheExchange m_cacheExchange;
    TunnelServer m_tunnels;
    PeerServer m_peerServer;
    StoreSync m_storeSync;
    PeerExchange m_peers;
    DigestExchange m_digests;
    OrderController m_orders;
    net::signal_set m_signals;
    int m_exitCode = 0;
};

} // namespace marigoldladder::relay
