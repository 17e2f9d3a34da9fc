#include "fleet/gossip.h"

#include "fleet/member_merge.h"
#include "fleet/member_record.h"
#include "fleet/peer_probe.h"
#include "fleet/upstream_exchange.h"

#include <algorithm>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto roundsPerSuspect = std::uint64_t { 5 };
    constexpr auto announcedPeers = std::size_t { 4 };

    using Candidates = std::vector<const Member*>;

    // Picks up to `count` of the candidates at random.
    auto sample(Candidates candidates, std::size_t count, std::mt19937_64& random) -> Candidates
    {
        auto picked = Candidates();
        std::sample(candidates.begin(), candidates.end(), std::back_inserter(picked), count, random);
        return picked;
    }

    // What is told of others: recent changes first, then a sample of the rest. Members that were only
    // listed by the platform are not told of, since nobody has heard them.
    auto chooseTold(const Membership& membership, const VmName& self, const VmName& peer, MonotonicTime now,
        std::mt19937_64& random) -> Candidates
    {
        auto news = Candidates();
        auto rest = Candidates();
        auto told = Candidates();
        for (const auto& [vm, member] : membership.m_members) {
            if (vm == self || member.m_heardAt == MonotonicTime())
                continue;
            if (vm == peer) {
                if (member.m_state != MemberState::Alive)
                    told.push_back(&member);
                continue;
            }
            const auto recent = now - member.m_changedAt < gossipNewsLifetime;
            (recent ? news : rest).push_back(&member);
        }
        const auto toldNews = sample(news, maxGossipNews, random);
        const auto toldRest = sample(rest, gossipSamples, random);
        told.insert(told.end(), toldNews.begin(), toldNews.end());
        told.insert(told.end(), toldRest.begin(), toldRest.end());
        return told;
    }

    auto probeCandidates(const Membership& membership, const VmName& self, bool suspects)
        -> std::vector<VmName>
    {
        auto names = std::vector<VmName>();
        for (const auto& [vm, member] : membership.m_members) {
            const auto wanted
                = member.m_state != MemberState::Gone && (member.m_state == MemberState::Suspect) == suspects;
            if (vm != self && wanted)
                names.push_back(vm);
        }
        return names;
    }

    auto raiseHeartbeat(Blackboard& blackboard, const VmName& self) -> void
    {
        const auto now = std::chrono::steady_clock::now();
        const auto inFlight
            = blackboard.m_health.read([](const NodeHealth& value) { return value.m_requestsInFlight; });
        const auto revision
            = blackboard.m_configuration.read([](const Configuration& value) { return value.m_revision; });
        blackboard.m_membership.write([&](Membership& membership) {
            auto& own = membership.m_members[self];
            ++own.m_heartbeat;
            own.m_heardAt = now;
            own.m_requestsInFlight = inFlight;
            own.m_revision = revision;
            forgetGoneMembers(membership, now);
        });
    }

    auto askSeedPeer(
        Blackboard& blackboard, PeerLinks& links, const NodeSettings& settings, GossipState& state) -> void
    {
        const auto& seeds = settings.m_seedPeers;
        if (seeds.empty() || blackboard.m_membership.read([&](const Membership& value) {
                return hasHeardOfPeers(value, settings.m_vm);
            }))
            return;
        const auto link = links.toAddress(seeds[state.m_round % seeds.size()]);
        if (link)
            (void)exchangeGossip(blackboard, *link.value(), settings.m_vm, state.m_random);
    }

} // namespace

auto makeGossip(const Blackboard& blackboard, const VmName& self, const VmName& peer, std::mt19937_64& random)
    -> wire::GossipT
{
    auto gossip = wire::GossipT();
    gossip.revision
        = blackboard.m_configuration.read([](const Configuration& value) { return value.m_revision; });
    gossip.upstreams_version
        = blackboard.m_upstreams.read([](const UpstreamTable& table) { return table.m_version; });
    const auto now = std::chrono::steady_clock::now();
    blackboard.m_membership.read([&](const Membership& membership) {
        const auto own = membership.m_members.find(self);
        if (own != membership.m_members.end())
            gossip.members.push_back(encodeMember(own->second));
        for (const auto* member : chooseTold(membership, self, peer, now, random))
            gossip.members.push_back(encodeMember(*member));
    });
    return gossip;
}

auto mergeGossip(Blackboard& blackboard, const VmName& self, const wire::GossipT& gossip) -> void
{
    const auto now = std::chrono::steady_clock::now();
    blackboard.m_membership.write([&](Membership& membership) {
        for (const auto& record : gossip.members)
            mergeMember(membership, self, decodeMember(*record), now);
    });
}

auto handleGossip(Blackboard& blackboard, const VmName& self,
    const std::shared_ptr<PeerConnection>& connection, const wire::EnvelopeT& envelope,
    std::mt19937_64& random) -> void
{
    mergeGossip(blackboard, self, *envelope.body.AsGossip());
    auto own = makeGossip(blackboard, self, connection->peerVm(), random);
    auto answer = wire::GossipAnswerT();
    answer.members = std::move(own.members);
    answer.revision = own.revision;
    answer.pending = std::move(own.pending);
    answer.upstreams_version = own.upstreams_version;
    connection->send(makeEnvelope(envelope.correlation, std::move(answer)));
}

auto nextProbeTarget(GossipState& state, const Membership& membership, const VmName& self) -> VmName
{
    const auto round = ++state.m_round;
    if (round % roundsPerSuspect == 0) {
        const auto suspects = probeCandidates(membership, self, true);
        if (!suspects.empty())
            return suspects[state.m_random() % suspects.size()];
    }
    if (state.m_turns.empty()) {
        state.m_turns = probeCandidates(membership, self, false);
        std::shuffle(state.m_turns.begin(), state.m_turns.end(), state.m_random);
    }
    if (state.m_turns.empty())
        return {};
    auto next = std::move(state.m_turns.back());
    state.m_turns.pop_back();
    return next;
}

auto exchangeGossip(Blackboard& blackboard, PeerLink& link, const VmName& self, std::mt19937_64& random)
    -> bool
{
    auto answer = link.call(makeGossip(blackboard, self, link.peerVm(), random), probeTimeout);
    auto* told = answer ? answer.value().body.AsGossipAnswer() : nullptr;
    if (!told)
        return false;
    auto gossip = wire::GossipT();
    gossip.members = std::move(told->members);
    mergeGossip(blackboard, self, gossip);
    pullUpstreams(blackboard, link, told->upstreams_version);
    return true;
}

auto gossipRound(Blackboard& blackboard, PeerLinks& links, const NodeSettings& settings, GossipState& state)
    -> void
{
    const auto& self = settings.m_vm;
    raiseHeartbeat(blackboard, self);
    links.dropIdle();
    askSeedPeer(blackboard, links, settings, state);
    const auto target = blackboard.m_membership.read(
        [&](const Membership& membership) { return nextProbeTarget(state, membership, self); });
    if (target.empty())
        return;
    const auto exchange
        = [&](PeerLink& link) { return exchangeGossip(blackboard, link, self, state.m_random); };
    if (probeMember(blackboard, links, self, target, exchange, state.m_random))
        return;
    const auto now = std::chrono::steady_clock::now();
    blackboard.m_membership.write([&](Membership& membership) { suspectMember(membership, target, now); });
}

auto announceSelf(Blackboard& blackboard, PeerLinks& links, const VmName& self, std::mt19937_64& random)
    -> void
{
    auto peers = blackboard.m_membership.read(
        [&](const Membership& membership) { return probeCandidates(membership, self, false); });
    std::shuffle(peers.begin(), peers.end(), random);
    peers.resize(std::min(peers.size(), announcedPeers));
    for (const auto& vm : peers) {
        const auto link = links.to(vm, probeTimeout);
        if (link)
            (void)link.value()->open(
                makeGossip(blackboard, self, vm, random), [](wire::EnvelopeT*) { return false; });
    }
}

} // namespace marigoldladder
