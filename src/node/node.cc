#include "marigoldladder/node.h"

#include "core/log.h"
#include "core/periodic_task.h"
#include "fleet/configuration_controller.h"
#include "fleet/discovery_controller.h"
#include "fleet/gossip.h"
#include "fleet/membership_controller.h"
#include "fleet/peer_links.h"
#include "limits/allowance.h"
#include "limits/share_controller.h"
#include "limits/token_exchange.h"
#include "ops/operator_server.h"
#include "routing/owner_client.h"
#include "routing/ownership_controller.h"
#include "serving/caller_server.h"
#include "wire/peer_server.h"

#include <random>
#include <stdexcept>
#include <thread>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto configurationPeriod = std::chrono::milliseconds(300);
    constexpr auto fleetPeriod = std::chrono::milliseconds(500);
    constexpr auto sharePeriod = std::chrono::milliseconds(100);
    constexpr auto claimCleaningPeriod = std::chrono::milliseconds(10'000);
    constexpr auto gossipPeriod = std::chrono::milliseconds(200);
    constexpr auto addressExpiry = std::chrono::milliseconds(2500);
    constexpr auto drainPoll = std::chrono::milliseconds(20);

    auto listenOrThrow(const Address& address) -> Socket
    {
        auto listener = listenOn(address);
        if (!listener)
            throw std::runtime_error(listener.error().m_message);
        return std::move(listener.value());
    }

} // namespace

struct Node::Implementation {
    explicit Implementation(NodeSettings settings)
        : m_settings(std::move(settings))
        , m_platform(m_settings.m_platformAddress, m_blackboard.m_metrics)
        , m_log(m_platform)
        , m_identity { m_settings.m_vm, makeIncarnation(), m_settings.m_fleetSecret }
        , m_links(m_blackboard, m_identity)
        , m_owner(m_blackboard)
        , m_owners(m_blackboard, m_links, m_owner, m_settings.m_vm)
        , m_allowance(
              m_blackboard, m_settings.m_vm, makeTokenTransport(m_links), std::chrono::steady_clock::now)
        , m_shares(m_blackboard, m_platform, m_allowance, m_settings.m_vm, m_identity.m_incarnation)
        , m_runner(m_blackboard, m_owners)
        , m_claims(m_blackboard, m_platform, { m_settings.m_vm, m_identity.m_incarnation },
              std::chrono::system_clock::now)
        , m_keyed(m_blackboard, m_links, m_allowance, m_claims, { m_settings.m_vm, m_identity.m_incarnation },
              std::chrono::system_clock::now, makeKeyedDispatch(m_runner))
        , m_callers(m_settings, m_blackboard, m_allowance, m_runner, m_keyed)
        , m_operators(m_settings, m_blackboard, m_log)
    {
        startPeerServer();
        m_configurationTask.emplace("configuration", configurationPeriod, [this] { followConfiguration(); });
        m_fleetTask.emplace("fleet", fleetPeriod, [this] { followFleet(); });
        m_shareTask.emplace("shares", sharePeriod, [this] { m_shares.step(); });
        m_claimTask.emplace("claims", claimCleaningPeriod, [this] { m_claims.removeExpired(); });
        m_gossipTask.emplace("gossip", gossipPeriod,
            [this] { gossipRound(m_blackboard, m_links, m_settings.m_vm, m_gossipRandom); });
    }

    auto startPeerServer() -> void;
    auto setOwnMember(MemberState) -> Member;
    auto followConfiguration() -> void;
    auto followFleet() -> void;
    auto handlePeer(const std::shared_ptr<PeerConnection>&, wire::EnvelopeT&) -> void;

    NodeSettings m_settings;
    Blackboard m_blackboard;
    PlatformClient m_platform;
    ReleaseLog m_log;
    PeerIdentity m_identity;
    PeerLinks m_links;
    Owner m_owner;
    OwnerClient m_owners;
    Allowance m_allowance;
    ShareController m_shares;
    RequestRunner m_runner;
    KeyedClaims m_claims;
    KeyedService m_keyed;
    CallerServer m_callers;
    OperatorServer m_operators;
    NodeAddresses m_addresses;
    std::optional<PeerServer> m_peers;
    bool m_published = false;
    std::optional<PeriodicTask> m_configurationTask;
    std::optional<PeriodicTask> m_fleetTask;
    std::mt19937_64 m_gossipRandom { std::random_device()() }; // Used by the gossip task only.
    std::optional<PeriodicTask> m_shareTask;
    std::optional<PeriodicTask> m_claimTask;
    std::optional<PeriodicTask> m_gossipTask;
};

auto Node::Implementation::startPeerServer() -> void
{
    auto listener = listenOrThrow(m_settings.m_peerAddress);
    m_addresses.m_peer = boundAddress(listener);
    m_addresses.m_caller = { m_settings.m_callerAddress.m_host, m_callers.port() };
    m_addresses.m_operator = { m_settings.m_operatorAddress.m_host, m_operators.port() };
    setOwnMember(MemberState::Alive);
    m_peers.emplace(
        std::move(listener), m_identity, m_blackboard.m_metrics,
        [this](const auto& connection, auto& envelope) { handlePeer(connection, envelope); },
        [this](const auto&) { m_blackboard.m_metrics.add(Counter::PeerConnectionsLost); });
}

// Writes this node's own record to the membership and returns it.
auto Node::Implementation::setOwnMember(MemberState state) -> Member
{
    auto self = Member();
    self.m_vm = m_settings.m_vm;
    self.m_dataCentre = m_settings.m_dataCentre;
    self.m_incarnation = m_identity.m_incarnation;
    self.m_callerAddress = m_settings.m_advertisedCallerAddress;
    if (self.m_callerAddress.m_port == 0)
        self.m_callerAddress = m_addresses.m_caller;
    self.m_peerAddress = m_settings.m_advertisedPeerAddress;
    if (self.m_peerAddress.m_port == 0)
        self.m_peerAddress = m_addresses.m_peer;
    self.m_state = state;
    m_blackboard.m_membership.write([&](Membership& value) {
        self.m_heartbeat = value.m_members[self.m_vm].m_heartbeat + 1;
        value.m_members[self.m_vm] = self;
    });
    return self;
}

auto Node::Implementation::followConfiguration() -> void
{
    const auto followed = followReleaseLog(m_blackboard, m_log);
    const auto changed = m_blackboard.m_health.write([&](NodeHealth& health) {
        const auto before = std::exchange(health.m_platformReachable, followed.has_value());
        health.m_configured = health.m_configured || followed.has_value();
        return before != followed.has_value();
    });
    if (changed)
        logChange(followed ? "platform_reachable" : "platform_unreachable");
}

auto Node::Implementation::followFleet() -> void
{
    if (!m_published)
        m_published = publishMember(m_platform, setOwnMember(MemberState::Alive)).has_value();
    (void)refreshMembership(m_blackboard, m_platform, m_settings.m_vm);
    (void)refreshUpstreams(m_blackboard, m_platform);
    refreshAssignments(m_blackboard);
}

auto Node::Implementation::handlePeer(
    const std::shared_ptr<PeerConnection>& connection, wire::EnvelopeT& envelope) -> void
{
    switch (envelope.body.type) {
    case wire::Body::ServeRequest:
        handleServeRequest(m_owner, connection, envelope);
        break;
    case wire::Body::KeyedCall:
        m_keyed.handleKeyedCall(connection, envelope);
        break;
    case wire::Body::TokenRequest:
        handleTokenRequest(m_allowance, connection, envelope);
        break;
    case wire::Body::TokenReturn:
        handleTokenReturn(m_allowance, envelope);
        break;
    case wire::Body::Gossip: {
        thread_local auto random = std::mt19937_64(std::random_device()());
        handleGossip(m_blackboard, m_settings.m_vm, connection, envelope, random);
        break;
    }
    case wire::Body::ServeCancel:
        m_owner.cancel(RequestId(envelope.body.AsServeCancel()->request_id));
        break;
    default:
        break;
    }
}

Node::Node(NodeSettings settings)
    : m_implementation(std::make_unique<Implementation>(std::move(settings)))
{
}

Node::~Node() = default;

auto Node::addresses() const -> NodeAddresses
{
    return m_implementation->m_addresses;
}

auto Node::drain(std::chrono::milliseconds atMost) -> void
{
    auto& node = *m_implementation;
    const auto begun = std::chrono::steady_clock::now();
    node.m_blackboard.m_health.write([](NodeHealth& health) { health.m_draining = true; });
    logChange("draining");
    (void)publishMember(node.m_platform, node.setOwnMember(MemberState::Draining));
    const auto inFlight = [&] { return node.m_blackboard.m_health.copy().m_requestsInFlight; };
    while (std::chrono::steady_clock::now() < begun + atMost) {
        if (std::chrono::steady_clock::now() >= begun + addressExpiry && inFlight() == 0)
            break;
        std::this_thread::sleep_for(drainPoll);
    }
    (void)node.m_shares.release();
    logChange("drained");
}

} // namespace marigoldladder
