#include "relay/stream_origins.h"

#include "relay/rendezvous_hash.h"

#include <algorithm>
#include <map>
#include <set>
#include <xxhash.h>

namespace marigoldladder::relay {

namespace {

    constexpr auto maxOrigins = std::size_t { 100'000 }; // Some megabytes.

    auto isOver(MonotonicTime recordedAt, MonotonicTime now) -> bool
    {
        return recordedAt + streamLifetime <= now;
    }

    auto discardOldest(StreamOrigins& origins) -> void
    {
        const auto [recordedAt, stream] = origins.m_oldestFirst.front();
        origins.m_oldestFirst.pop_front();
        origins.m_byKey.erase(stream);
    }

    auto setOrigin(FoundOrigin& found, SoftwareId software, OriginSource source) -> void
    {
        found.m_software = software;
        found.m_source = source;
    }

    struct RankedPeer {
        std::size_t m_ahead = 0; // Peers of its data centre that rank higher.
        std::uint64_t m_rank = 0;
        const Peer* m_peer = nullptr;
    };

    auto rankedPeers(const FleetView& fleet, StreamKey stream, MonotonicTime now) -> std::vector<RankedPeer>
    {
        auto peers = std::vector<RankedPeer>();
        for (const auto& [vm, peer] : fleet.m_peers) {
            if (isAlive(peer, now) && !peer.m_leaving)
                peers.push_back({ 0, rendezvousRank(vm, stream), &peer });
        }
        std::sort(peers.begin(), peers.end(),
            [](const auto& left, const auto& right) { return left.m_rank > right.m_rank; });
        auto seen = std::map<DataCentreName, std::size_t>();
        for (auto& ranked : peers)
            ranked.m_ahead = seen[ranked.m_peer->m_dataCentre]++;
        std::stable_sort(peers.begin(), peers.end(),
            [](const auto& left, const auto& right) { return left.m_ahead < right.m_ahead; });
        return peers;
    }

} // namespace

auto softwareIdOf(const PoolName& pool, std::string_view version) -> SoftwareId
{
    const auto& name = pool.value();
    const auto id
        = XXH3_64bits_withSeed(version.data(), version.size(), XXH3_64bits(name.data(), name.size()));
    return std::max<SoftwareId>(id, 1); // 0 stands for an unknown one in messages.
}

auto streamKeyOf(const OrganisationName& organisation, std::string_view attempt) -> StreamKey
{
    const auto& name = organisation.value();
    return XXH3_64bits_withSeed(attempt.data(), attempt.size(), XXH3_64bits(name.data(), name.size()));
}

auto recordOrigin(StreamOrigins& origins, StreamKey stream, StreamOrigin origin) -> void
{
    const auto now = origin.m_recordedAt;
    while (!origins.m_oldestFirst.empty()
        && (isOver(origins.m_oldestFirst.front().first, now) || origins.m_byKey.size() >= maxOrigins))
        discardOldest(origins);
    if (origins.m_byKey.emplace(stream, origin).second)
        origins.m_oldestFirst.emplace_back(now, stream);
}

auto findOrigin(const StreamOrigins& origins, StreamKey stream, MonotonicTime now)
    -> std::optional<SoftwareId>
{
    const auto found = origins.m_byKey.find(stream);
    if (found == origins.m_byKey.end() || isOver(found->second.m_recordedAt, now))
        return std::nullopt;
    return found->second.m_software;
}

auto localStreamsOf(const StreamOrigins& origins, SoftwareId software, MonotonicTime now)
    -> std::vector<StreamKey>
{
    auto streams = std::vector<StreamKey>();
    for (const auto& [stream, origin] : origins.m_byKey) {
        if (origin.m_isLocal && origin.m_software == software && !isOver(origin.m_recordedAt, now))
            streams.push_back(stream);
    }
    return streams;
}

auto softwareInUse(const UpstreamTable& table) -> SoftwareByPool
{
    auto software = SoftwareByPool();
    for (const auto& [name, upstream] : table.m_upstreams) {
        auto& ofPool = software[upstream->m_record.m_pool];
        ofPool.insert(upstream->m_record.m_software);
        if (upstream->m_unlistedSoftware)
            ofPool.insert(*upstream->m_unlistedSoftware);
    }
    return software;
}

auto addFormerSoftware(SoftwareByPool& software, const UpstreamTable& table, MonotonicTime now) -> void
{
    for (const auto& [former, gone] : table.m_formerSoftware) {
        if (!isOver(gone.m_goneAt, now))
            software[gone.m_pool].insert(former);
    }
}

auto judgeOrigin(const OriginKnowledge& local, const std::vector<OriginKnowledge>& others) -> FoundOrigin
{
    auto found = FoundOrigin();
    auto candidates = std::set<SoftwareId>(local.m_candidates.begin(), local.m_candidates.end());
    found.m_nodesAnswered = others.size();
    found.m_nodesThatKnowAll = local.m_knowsAll ? 1 : 0;
    found.m_watchedFor = local.m_watchedFor;
    for (const auto& other : others) {
        found.m_watchedFor = std::max(found.m_watchedFor, other.m_watchedFor);
        found.m_nodesThatKnowAll += other.m_knowsAll ? 1 : 0;
        candidates.insert(other.m_candidates.begin(), other.m_candidates.end());
        if (other.m_software && !found.m_software)
            setOrigin(found, *other.m_software, OriginSource::OtherNode);
    }
    found.m_candidates = candidates.size();
    if (local.m_software)
        setOrigin(found, *local.m_software, OriginSource::ThisNode);
    if (!found.m_software && candidates.size() == 1 && found.m_nodesThatKnowAll > 0)
        setOrigin(found, *candidates.begin(), OriginSource::Conclusion);
    return found;
}

auto originKeepers(const FleetView& fleet, StreamKey stream, std::size_t count, MonotonicTime now)
    -> std::vector<Address>
{
    auto keepers = std::vector<Address>();
    for (const auto& ranked : rankedPeers(fleet, stream, now)) {
        if (keepers.size() == count)
            break;
        keepers.push_back(ranked.m_peer->m_peerAddress);
    }
    return keepers;
}

} // namespace marigoldladder::relay
