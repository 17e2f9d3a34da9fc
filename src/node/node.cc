#include "marigoldladder/node.h"

#include "core/log.h"
#include "core/periodic_task.h"
#include "fleet/configuration_controller.h"
#include "fleet/discovery_controller.h"
#include "fleet/drain.h"
#include "fleet/gossip.h"
#include "fleet/member_merge.h"
#include "fleet/membership_controller.h"
#include "fleet/note_spreader.h"
#include "fleet/peer_links.h"
#include "fleet/peer_probe.h"
#include "fleet/upstream_exchange.h"
#include "limits/allowance.h"
#include "limits/share_controller.h"
#include "limits/token_exchange.h"
#include "ops/operator_server.h"
#include "routing/owner_client.h"
#include "routing/ownership_controller.h"
#include "serving/address_answer.h"
#include "serving/caller_server.h"
#include "wire/peer_server.h"

#include <algorithm>
#include <random>
#include <stdexcept>
#include <thread>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto configurationPeriod = std::chrono::milliseconds(100);
    constexpr auto notesPeriod = std::chrono::milliseconds(150);
    constexpr auto platformPeriod = std::chrono::milliseconds(50);
    constexpr auto sharePeriod = std::chrono::milliseconds(100);
    constexpr auto ownershipPeriod = std::chrono::milliseconds(250);
    constexpr auto leaveTimeout = std::chrono::milliseconds(2000);
    constexpr auto claimCleaningPeriod = std::chrono::milliseconds(10'000);
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
        , m_follower(m_blackboard, m_log, m_settings.m_vm, m_settings.m_dataCentre)
        , m_notes(m_blackboard, m_links, m_identity, m_settings.m_dataCentre, m_settings.m_seedPeers)
        , m_links(m_blackboard, m_identity)
        , m_probes(m_blackboard, m_links, m_settings.m_vm)
        , m_poison(m_blackboard, m_links, m_settings.m_vm)
        , m_owner(m_blackboard, m_poison)
        , m_ownership(m_blackboard, m_platform, m_owner.adapters(),
              { m_settings.m_vm, m_identity.m_incarnation }, m_settings)
        , m_owners(m_blackboard, m_links, m_owner, m_settings.m_vm)
        , m_allowance(
              m_blackboard, m_settings.m_vm, makeTokenTransport(m_links), std::chrono::steady_clock::now)
        , m_shares(m_blackboard, m_platform, m_allowance, m_settings.m_vm, m_identity.m_incarnation)
        , m_runner(m_blackboard, m_owners, m_poison)
        , m_claims(m_blackboard, m_platform, { m_settings.m_vm, m_identity.m_incarnation },
              std::chrono::system_clock::now)
        , m_keyed(m_blackboard, m_links, m_allowance, m_claims, { m_settings.m_vm, m_identity.m_incarnation },
              std::chrono::system_clock::now, makeKeyedDispatch(m_runner))
        , m_callers(m_settings, m_blackboard, m_allowance, m_runner, m_keyed)
        , m_operators(m_settings, m_blackboard, m_log, m_notes)
    {
        startPeerServer();
        m_configurationTask.emplace("configuration", configurationPeriod, [this] { followConfiguration(); });
        m_notesTask.emplace("notes", notesPeriod, [this] { spreadNotes(); });
        m_membersTask.emplace("members", platformPeriod,
            [this] { followMembers(m_blackboard, m_platform, m_settings.m_vm, m_membershipState); });
        m_discoveryTask.emplace("discovery", platformPeriod,
            [this] { followVms(m_blackboard, m_platform, m_settings.m_vm, m_discoveryState); });
        m_shareTask.emplace("shares", sharePeriod, [this] { m_shares.step(); });
        m_ownershipTask.emplace("ownership", ownershipPeriod, [this] { m_ownership.refresh(); });
        m_claimTask.emplace("claims", claimCleaningPeriod, [this] { m_claims.removeExpired(); });
        m_gossipTask.emplace("gossip", gossipPeriod, [this] {
            joinWhenReady();
            gossipRound(m_blackboard, m_links, m_settings, m_gossipState);
        });
    }

    auto startPeerServer() -> void;
    auto addOwnMember() -> void;
    auto mayJoin() const -> bool;
    auto joinWhenReady() -> void;
    auto changeOwnState(MemberState) -> Member;
    auto observeDrain(MonotonicTime begun, MonotonicTime& busyAt) -> DrainObservation;
    auto sayGoodbye() -> void;
    auto followConfiguration() -> void;
    auto spreadNotes() -> void;
    auto handlePeer(const std::shared_ptr<PeerConnection>&, wire::EnvelopeT&) -> void;

    NodeSettings m_settings;
    Blackboard m_blackboard;
    PlatformClient m_platform;
    ReleaseLog m_log;
    PeerIdentity m_identity;
    ConfigurationController m_follower; // Used by the configuration task only.
    NoteSpreader m_notes; // Before the links, whose threads call it until they end.
    PeerLinks m_links;
    ProbeService m_probes;
    PoisonWatch m_poison;
    Owner m_owner;
    OwnershipController m_ownership; // Used by the ownership task only.
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
    std::optional<PeriodicTask> m_configurationTask;
    std::optional<PeriodicTask> m_notesTask;
    MembershipState m_membershipState; // Each state is used by the task below it only.
    std::optional<PeriodicTask> m_membersTask;
    DiscoveryState m_discoveryState;
    std::optional<PeriodicTask> m_discoveryTask;
    std::optional<PeriodicTask> m_shareTask;
    std::optional<PeriodicTask> m_ownershipTask;
    std::optional<PeriodicTask> m_claimTask;
    GossipState m_gossipState;
    std::optional<PeriodicTask> m_gossipTask;
};

auto Node::Implementation::startPeerServer() -> void
{
    auto listener = listenOrThrow(m_settings.m_peerAddress);
    m_addresses.m_peer = boundAddress(listener);
    m_addresses.m_caller = { m_settings.m_callerAddress.m_host, m_callers.port() };
    m_addresses.m_operator = { m_settings.m_operatorAddress.m_host, m_operators.port() };
    addOwnMember();
    m_peers.emplace(
        std::move(listener), m_identity, m_blackboard.m_metrics,
        [this](const auto& connection, auto& envelope) { handlePeer(connection, envelope); },
        [this](const auto&) { m_blackboard.m_metrics.add(Counter::PeerConnectionsLost); });
}

// Writes this node's own record to the membership.
auto Node::Implementation::addOwnMember() -> void
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
    self.m_state = MemberState::Joining;
    self.m_heardAt = std::chrono::steady_clock::now();
    self.m_changedAt = self.m_heardAt;
    m_blackboard.m_membership.write([&](Membership& value) { value.m_members[self.m_vm] = self; });
}

// Whether this node, which is joining, has learnt what it needs to serve, so that it may be named to callers.
auto Node::Implementation::mayJoin() const -> bool
{
    const auto joining = m_blackboard.m_membership.read([&](const Membership& value) {
        return value.m_members.at(m_settings.m_vm).m_state == MemberState::Joining;
    });
    if (!joining || !m_blackboard.m_health.copy().m_configured)
        return false;
    const auto upstreams = m_blackboard.m_upstreams.read([](const UpstreamTable& table) {
        return table.m_known ? std::optional(table.m_upstreams.size()) : std::nullopt;
    });
    const auto assigned = m_blackboard.m_assignments.read([](const AssignmentTable& table) {
        return std::count_if(table.m_assignments.begin(), table.m_assignments.end(),
            [](const auto& entry) { return !entry.second.m_owner.empty(); });
    });
    const auto alone = m_blackboard.m_membership.read(
        [&](const Membership& value) { return !hasHeardOfPeers(value, m_settings.m_vm); });
    return upstreams && (alone || static_cast<std::size_t>(assigned) >= *upstreams);
}

auto Node::Implementation::joinWhenReady() -> void
{
    if (!mayJoin())
        return;
    changeOwnState(MemberState::Alive);
    m_ownershipTask->wake(); // Now this node counts where upstreams are assigned.
    logChange("joined");
}

// Changes this node's own state so that it outweighs all that was told of it before; returns the record.
auto Node::Implementation::changeOwnState(MemberState state) -> Member
{
    return m_blackboard.m_membership.write([&](Membership& value) {
        auto& self = value.m_members[m_settings.m_vm];
        self.m_state = state;
        ++self.m_refutation;
        self.m_changedAt = std::chrono::steady_clock::now();
        return self;
    });
}

auto Node::Implementation::followConfiguration() -> void
{
    const auto reached = m_follower.step();
    const auto complete
        = m_blackboard.m_configuration.read([](const Configuration& value) { return value.m_complete; });
    const auto changed = m_blackboard.m_health.write([&](NodeHealth& health) {
        health.m_configured = complete;
        return reached && std::exchange(health.m_platformReachable, *reached) != *reached;
    });
    if (changed)
        logChange(*reached ? "platform_reachable" : "platform_unreachable");
}

// A node that got its configuration from a peer serves from then on, also while the platform hangs.
auto Node::Implementation::spreadNotes() -> void
{
    m_notes.round();
    const auto complete
        = m_blackboard.m_configuration.read([](const Configuration& value) { return value.m_complete; });
    m_blackboard.m_health.write([&](NodeHealth& health) { health.m_configured = complete; });
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
    case wire::Body::NotesRequest:
        m_notes.handleRequest(connection, envelope);
        break;
    case wire::Body::ProbeRequest:
        m_probes.handle(connection, envelope);
        break;
    case wire::Body::UpstreamsRequest:
        handleUpstreamsRequest(m_blackboard, connection, envelope);
        break;
    case wire::Body::ServeCancel:
        m_owner.cancel(RequestId(envelope.body.AsServeCancel()->request_id));
        break;
    case wire::Body::ResolveRequest:
        handleResolveRequest(m_owner, connection, envelope);
        break;
    case wire::Body::PoisonNotice:
        m_poison.handleNotice(connection, envelope);
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

auto Node::Implementation::observeDrain(MonotonicTime begun, MonotonicTime& busyAt) -> DrainObservation
{
    const auto now = std::chrono::steady_clock::now();
    auto seen = DrainObservation();
    seen.m_openRequests = m_callers.openRequests();
    seen.m_ownerCalls = m_owner.callsInProgress();
    if (seen.m_openRequests > 0 || seen.m_ownerCalls > 0)
        busyAt = now;
    seen.m_elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - begun);
    seen.m_quiet = std::chrono::duration_cast<std::chrono::milliseconds>(now - busyAt);
    return seen;
}

// Tells that this process ends, so that others need not wait for the platform's list to say so.
auto Node::Implementation::sayGoodbye() -> void
{
    m_gossipTask->stop();
    const auto self = changeOwnState(MemberState::Gone);
    announceSelf(m_blackboard, m_links, m_settings.m_vm, m_gossipState.m_random);
    (void)withdrawMember(m_platform, self);
}

auto Node::drain(std::chrono::milliseconds atMost) -> void
{
    auto& node = *m_implementation;
    const auto begun = std::chrono::steady_clock::now();
    node.m_blackboard.m_health.write([](NodeHealth& health) { health.m_draining = true; });
    logChange("draining");
    node.changeOwnState(MemberState::Draining);
    auto random = std::mt19937_64(std::random_device()());
    announceSelf(node.m_blackboard, node.m_links, node.m_settings.m_vm, random);
    auto busyAt = begun;
    while (!mayLeave(node.observeDrain(begun, busyAt), addressTimeToLive)
        && std::chrono::steady_clock::now() < begun + atMost)
        std::this_thread::sleep_for(drainPoll);
    node.m_ownershipTask.reset();
    node.m_ownership.leave(leaveTimeout);
    (void)node.m_shares.release();
    node.sayGoodbye();
    logChange("drained");
}

} // namespace marigoldladder
