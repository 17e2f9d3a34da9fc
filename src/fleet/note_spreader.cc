#include "fleet/note_spreader.h"

#include <algorithm>
#include <condition_variable>
#include <utility>
#include <xxhash.h>

namespace marigoldladder {

namespace {

    constexpr auto newsTime = std::chrono::milliseconds(2000);
    constexpr auto startInterval = std::chrono::milliseconds(400);
    constexpr auto newsFanout = std::size_t { 2 };
    constexpr auto enoughCopies = std::size_t { 2 };

    auto pairHash(const VmName& self, const VmName& peer) -> std::uint64_t
    {
        const auto seed = XXH3_64bits(self.value().data(), self.value().size());
        return XXH3_64bits_withSeed(peer.value().data(), peer.value().size(), seed);
    }

    auto livingPeers(const Membership& membership, const VmName& self) -> std::vector<const Member*>
    {
        auto peers = std::vector<const Member*>();
        for (const auto& [vm, member] : membership.m_members) {
            const auto living
                = member.m_state == MemberState::Alive || member.m_state == MemberState::Draining;
            if (vm != self && living)
                peers.push_back(&member);
        }
        return peers;
    }

    // How many peers have confirmed what they were told.
    struct Confirmations {
        std::mutex m_mutex;
        std::condition_variable m_changed;
        std::size_t m_count = 0;
    };

} // namespace

auto noteNeighbours(const Membership& membership, const VmName& self, const DataCentreName& dataCentre)
    -> std::vector<VmName>
{
    auto peers = livingPeers(membership, self);
    auto neighbours = std::vector<VmName>();
    if (peers.empty())
        return neighbours;
    const auto next
        = std::find_if(peers.begin(), peers.end(), [&](const auto* peer) { return peer->m_vm > self; });
    neighbours.push_back(next == peers.end() ? peers.front()->m_vm : (*next)->m_vm);
    std::erase_if(peers, [&](const auto* peer) { return peer->m_vm == neighbours.front(); });
    std::sort(peers.begin(), peers.end(), [&](const Member* left, const Member* right) {
        return pairHash(self, left->m_vm) < pairHash(self, right->m_vm);
    });
    auto nearby = std::size_t { 0 };
    auto anywhere = std::size_t { 0 };
    for (const auto* peer : peers) {
        auto& taken = peer->m_dataCentre == dataCentre && nearby < neighboursNearby ? nearby : anywhere;
        if (&taken == &anywhere && anywhere == neighboursAnywhere)
            continue;
        ++taken;
        neighbours.push_back(peer->m_vm);
    }
    return neighbours;
}

NoteSpreader::NoteSpreader(Blackboard& blackboard, PeerLinks& links, PeerIdentity self,
    DataCentreName dataCentre, std::vector<Address> seedPeers)
    : m_blackboard(blackboard)
    , m_links(links)
    , m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_seedPeers(std::move(seedPeers))
{
}

auto NoteSpreader::round() -> void
{
    auto complete = false;
    const auto revision = m_blackboard.m_configuration.read([&](const Configuration& value) {
        complete = value.m_complete;
        return value.m_revision;
    });
    if (!complete) {
        askForConfiguration();
        return;
    }
    if (std::exchange(m_lastRevision, revision) != revision)
        noteNews();
    if (const auto ahead = memberAhead())
        askMember(*ahead);
    const auto now = std::chrono::steady_clock::now();
    const auto news = now < m_newsAt.load() + newsTime;
    if (!news && now < m_nextQuietRound)
        return;
    m_nextQuietRound = now + quietNoteInterval;
    const auto neighbours = drawNeighbours(news ? newsFanout : 1);
    for (const auto& vm : neighbours)
        askMember(vm);
    if (neighbours.empty())
        askSeeds();
}

auto NoteSpreader::memberAhead() -> std::optional<VmName>
{
    auto told = m_ahead.write([](auto& value) { return std::exchange(value, std::nullopt); });
    if (told)
        return told;
    const auto revision
        = m_blackboard.m_configuration.read([](const Configuration& value) { return value.m_revision; });
    return m_blackboard.m_membership.read([&](const Membership& membership) {
        auto ahead = std::vector<VmName>();
        for (const auto* peer : livingPeers(membership, m_self.m_vm)) {
            if (peer->m_revision > revision)
                ahead.push_back(peer->m_vm);
        }
        return ahead.empty() ? std::nullopt : std::optional(ahead[m_random() % ahead.size()]);
    });
}

auto NoteSpreader::drawNeighbours(std::size_t count) -> std::vector<VmName>
{
    auto neighbours = m_blackboard.m_membership.read(
        [&](const Membership& value) { return noteNeighbours(value, m_self.m_vm, m_dataCentre); });
    std::shuffle(neighbours.begin(), neighbours.end(), m_random);
    neighbours.resize(std::min(neighbours.size(), count));
    return neighbours;
}

auto NoteSpreader::askMember(const VmName& vm) -> void
{
    if (const auto link = m_links.to(vm))
        ask(link.value());
}

auto NoteSpreader::ask(const std::shared_ptr<PeerLink>& link) -> void
{
    link->open(makeNotesRequest(m_blackboard), [this](wire::EnvelopeT* answer) {
        const auto* notes = answer ? answer->body.AsNotesAnswer() : nullptr;
        if (notes && takeNotesAnswer(m_blackboard, *notes))
            noteNews();
        return false;
    });
}

// Asks two peers at a time, since the answer is a whole configuration.
auto NoteSpreader::askForConfiguration() -> void
{
    const auto now = std::chrono::steady_clock::now();
    if (now < m_nextQuietRound)
        return;
    m_nextQuietRound = now + startInterval;
    const auto peers = drawNeighbours(newsFanout);
    for (const auto& vm : peers)
        askMember(vm);
    if (peers.empty())
        askSeeds();
}

auto NoteSpreader::askSeeds() -> void
{
    auto seeds = m_seedPeers;
    std::shuffle(seeds.begin(), seeds.end(), m_random);
    seeds.resize(std::min(seeds.size(), newsFanout));
    for (const auto& address : seeds) {
        if (const auto link = linkToSeed(address))
            ask(link);
    }
}

auto NoteSpreader::linkToSeed(const Address& address) -> std::shared_ptr<PeerLink>
{
    auto& link = m_seedLinks[address];
    if (link && link->alive())
        return link;
    const auto connected = PeerLink::connect(address, m_self, m_blackboard.m_metrics);
    link = connected ? connected.value() : nullptr;
    return link;
}

auto NoteSpreader::handleRequest(
    const std::shared_ptr<PeerConnection>& connection, const wire::EnvelopeT& envelope) -> void
{
    const auto& request = *envelope.body.AsNotesRequest();
    if (takePendingNotes(m_blackboard, request.pending))
        noteNews();
    auto answer = makeNotesAnswer(m_blackboard, request);
    if (request.complete && (request.after > answer.revision || !answer.complete))
        m_ahead.write([&](auto& ahead) { ahead = connection->peerVm(); });
    connection->send(makeEnvelope(envelope.correlation, std::move(answer)));
}

auto NoteSpreader::spreadPending(std::chrono::milliseconds atMost) -> std::size_t
{
    noteNews();
    const auto confirmations = std::make_shared<Confirmations>();
    const auto neighbours = m_blackboard.m_membership.read(
        [&](const Membership& value) { return noteNeighbours(value, m_self.m_vm, m_dataCentre); });
    for (const auto& vm : neighbours) {
        const auto link = m_links.to(vm);
        if (!link)
            continue;
        link.value()->open(makeNotesRequest(m_blackboard), [confirmations](wire::EnvelopeT* answer) {
            const auto lock = std::lock_guard(confirmations->m_mutex);
            if (answer && answer->body.AsNotesAnswer())
                ++confirmations->m_count;
            confirmations->m_changed.notify_all();
            return false;
        });
    }
    const auto enough = std::min(enoughCopies, neighbours.size());
    auto lock = std::unique_lock(confirmations->m_mutex);
    confirmations->m_changed.wait_for(lock, atMost, [&] { return confirmations->m_count >= enough; });
    return confirmations->m_count;
}

auto NoteSpreader::noteNews() -> void
{
    m_newsAt = std::chrono::steady_clock::now();
}

} // namespace marigoldladder
