// What gossip costs a node, and how fast news travels, at three sizes of the fleet.
//
// The nodes are blackboards in one process. Rounds are run in lockstep: in each, every node exchanges gossip
// with its next probe target, as gossipRound does over connections. Bytes are those of the encoded frames
// that one node sends, as if each exchange needed a new connection.
#include "fleet/gossip.h"
#include "fleet/member_merge.h"
#include "wire/frame.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace {

using namespace marigoldladder;

constexpr auto fleetSizes = std::array { 9U, 100U, 350U };
constexpr auto dataCentres = 19U;
constexpr auto warmUpRounds = 40;
constexpr auto measuredRounds = 50;
constexpr auto maxRounds = 200U;
constexpr auto newsSeeds = 5U;
constexpr auto controlBytesPerSecond = 17'000.0; // What a node may spend for control of any kind.
constexpr auto spreadSeconds = 4.0; // What "within seconds" promises, detection included.
constexpr auto detectionSeconds = 1.4; // The three steps of a probe that fails, at their time-outs.

struct SimulatedNode {
    VmName m_vm;
    Blackboard m_blackboard;
    GossipState m_state;
};

using Fleet = std::vector<std::unique_ptr<SimulatedNode>>;

auto makeMember(unsigned number) -> Member
{
    auto member = Member();
    member.m_vm = VmName("entry-vm-" + std::to_string(number));
    member.m_dataCentre = DataCentreName("data-centre-" + std::to_string(number % dataCentres));
    member.m_incarnation = 1'796'000'000'000'000'000U + number;
    member.m_callerAddress = { "10.123.145." + std::to_string(number % 250), 18080 };
    member.m_peerAddress = { "10.123.145." + std::to_string(number % 250), 18081 };
    member.m_heardAt = std::chrono::steady_clock::now();
    return member;
}

auto makeFleet(unsigned size, unsigned seed) -> Fleet
{
    auto fleet = Fleet();
    for (auto i = 0U; i < size; ++i) {
        auto node = std::make_unique<SimulatedNode>();
        node->m_vm = makeMember(i).m_vm;
        node->m_state.m_random.seed(seed * size + i);
        node->m_blackboard.m_membership.write([&](Membership& membership) {
            for (auto j = 0U; j < size; ++j) {
                const auto member = makeMember(j);
                membership.m_members[member.m_vm] = member;
            }
        });
        fleet.push_back(std::move(node));
    }
    return fleet;
}

auto findNode(Fleet& fleet, const VmName& vm) -> SimulatedNode&
{
    return **std::find_if(fleet.begin(), fleet.end(), [&](const auto& node) { return node->m_vm == vm; });
}

// Lets one node tell another; returns the bytes of the frame.
auto tell(SimulatedNode& from, SimulatedNode& to) -> std::size_t
{
    auto gossip = makeGossip(from.m_blackboard, from.m_vm, to.m_vm, from.m_state.m_random);
    mergeGossip(to.m_blackboard, to.m_vm, gossip);
    return encodeFrame(makeEnvelope(1, std::move(gossip))).size();
}

auto raiseHeartbeat(SimulatedNode& node) -> void
{
    node.m_blackboard.m_membership.write(
        [&](Membership& membership) { ++membership.m_members[node.m_vm].m_heartbeat; });
}

// Runs one round of every node; returns the bytes that all sent.
auto runRound(Fleet& fleet) -> std::size_t
{
    auto bytes = std::size_t { 0 };
    for (auto& node : fleet) {
        raiseHeartbeat(*node);
        const auto target = node->m_blackboard.m_membership.read([&](const Membership& membership) {
            return nextProbeTarget(node->m_state, membership, node->m_vm);
        });
        auto& peer = findNode(fleet, target);
        bytes += tell(*node, peer) + tell(peer, *node);
    }
    return bytes;
}

// Makes every record of the fleet news at every node, the worst that gossip can have to tell.
auto makeAllNews(Fleet& fleet) -> void
{
    for (auto& node : fleet) {
        node->m_blackboard.m_membership.write([](Membership& membership) {
            for (auto& [vm, member] : membership.m_members)
                member.m_changedAt = std::chrono::steady_clock::now();
        });
    }
}

// Bytes that both ends send for a connection that serves one exchange: the handshake's frames, and the pings
// until it is closed as unused.
auto connectionBytes() -> std::size_t
{
    const auto nonce = std::string(32, '0');
    const auto proof = std::string(64, '0');
    auto challenge = wire::ChallengeT();
    challenge.nonce = nonce;
    auto hello = wire::HelloT();
    hello.vm = makeMember(0).m_vm.value();
    hello.incarnation = makeMember(0).m_incarnation;
    hello.nonce = nonce;
    hello.proof = proof;
    auto welcome = wire::WelcomeT();
    welcome.vm = hello.vm;
    welcome.incarnation = hello.incarnation;
    welcome.proof = proof;
    const auto sizeOf = [](auto message) { return encodeFrame(makeEnvelope(1, std::move(message))).size(); };
    const auto pings = static_cast<std::size_t>(linkIdleBound / pingPeriod);
    const auto pingBytes = 2 * pings * (sizeOf(wire::PingT()) + sizeOf(wire::PongT()));
    return sizeOf(challenge) + sizeOf(hello) + sizeOf(welcome) + pingBytes;
}

auto bytesPerSecond(Fleet& fleet, bool allNews) -> double
{
    constexpr auto roundsPerSecond = std::chrono::milliseconds(1000) / gossipPeriod;
    auto bytes = std::size_t { 0 };
    for (auto i = 0; i < measuredRounds; ++i) {
        if (allNews)
            makeAllNews(fleet);
        bytes += runRound(fleet);
    }
    const auto perNodeAndRound
        = static_cast<double>(bytes) / (static_cast<double>(fleet.size()) * measuredRounds);
    return (perNodeAndRound + static_cast<double>(connectionBytes())) * static_cast<double>(roundsPerSecond);
}

auto knowsSuspicion(SimulatedNode& node, const VmName& subject) -> bool
{
    return node.m_blackboard.m_membership.read([&](const Membership& membership) {
        return membership.m_members.at(subject).m_state == MemberState::Suspect;
    });
}

// One node suspects another that no longer takes part; returns the rounds until all know.
auto roundsUntilAllKnow(unsigned size, unsigned seed) -> unsigned
{
    auto fleet = makeFleet(size, seed);
    const auto subject = fleet.back()->m_vm;
    fleet.front()->m_blackboard.m_membership.write([&](Membership& membership) {
        suspectMember(membership, subject, std::chrono::steady_clock::now());
    });
    auto frozen = std::move(fleet.back());
    fleet.pop_back();
    for (auto round = 1U; round < maxRounds; ++round) {
        for (auto& node : fleet) {
            const auto target = node->m_blackboard.m_membership.read([&](const Membership& membership) {
                return nextProbeTarget(node->m_state, membership, node->m_vm);
            });
            if (target == subject)
                continue;
            auto& peer = findNode(fleet, target);
            tell(*node, peer);
            tell(peer, *node);
        }
        const auto known = std::all_of(
            fleet.begin(), fleet.end(), [&](const auto& node) { return knowsSuspicion(*node, subject); });
        if (known)
            return round;
    }
    return maxRounds;
}

auto mostRounds(unsigned size) -> unsigned
{
    auto most = 0U;
    for (auto seed = 1U; seed <= newsSeeds; ++seed)
        most = std::max(most, roundsUntilAllKnow(size, seed));
    return most;
}

auto print(const std::string& name, double value, const std::string& unit, double bound) -> bool
{
    const auto line
        = nlohmann::json { { "name", name }, { "value", value }, { "unit", unit }, { "bound", bound } };
    std::cout << line.dump() << std::endl;
    return value <= bound;
}

auto measure(unsigned size) -> bool
{
    const auto suffix = "_" + std::to_string(size) + "_nodes";
    auto fleet = makeFleet(size, 1);
    for (auto i = 0; i < warmUpRounds; ++i)
        (void)runRound(fleet);
    const auto quiet = bytesPerSecond(fleet, false);
    const auto busiest = bytesPerSecond(fleet, true);
    constexpr auto secondsPerRound = std::chrono::duration<double>(gossipPeriod).count();
    const auto spread = detectionSeconds + mostRounds(size) * secondsPerRound;
    const auto quietWithin = print("gossip_sent_quiet" + suffix, quiet, "bytes/s", controlBytesPerSecond / 2);
    const auto busiestWithin
        = print("gossip_sent_all_news" + suffix, busiest, "bytes/s", controlBytesPerSecond);
    const auto spreadWithin = print("suspicion_known_by_all" + suffix, spread, "s", spreadSeconds);
    return quietWithin && busiestWithin && spreadWithin;
}

} // namespace

auto main() -> int
{
    auto withinBounds = true;
    for (const auto size : fleetSizes)
        withinBounds = measure(size) && withinBounds;
    return withinBounds ? 0 : 1;
}
