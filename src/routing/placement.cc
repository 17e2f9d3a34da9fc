#include "routing/placement.h"

#include "routing/popularity.h"

#include <algorithm>
#include <array>
#include <utility>
#include <xxhash.h>

namespace marigoldladder {

namespace {

    constexpr auto membersPerGroup = std::size_t { 128 };

    // About as long as a request runs, so that recent dispatches stand for requests in flight.
    constexpr auto loadWindow = std::chrono::seconds(2);

    // A replica with fewer recent dispatches than this is never passed over.
    constexpr auto busyLoad = 12.0;
    constexpr auto detourFactor = 0.5;

    struct Ranked {
        std::uint64_t m_weight = 0;
        std::uint32_t m_position = 0;

        auto operator<(const Ranked& other) const -> bool { return m_weight > other.m_weight; }
    };

    // Mixes two hashes into one; the constants are those of the SplitMix64 finaliser.
    auto mix(std::uint64_t key, std::uint64_t candidate) -> std::uint64_t
    {
        auto value = key ^ (candidate + 0x9e3779b97f4a7c15U);
        value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
        value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
        return value ^ (value >> 31U);
    }

    auto groupCountFor(std::size_t targets) -> std::size_t
    {
        auto groups = std::size_t { 1 };
        while (targets > groups * membersPerGroup)
            groups *= 2;
        return groups;
    }

    // Returns the best `count` of the candidates, best first.
    auto best(std::vector<Ranked>& candidates, std::size_t count) -> std::size_t
    {
        const auto kept = std::min(count, candidates.size());
        std::partial_sort(
            candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(kept), candidates.end());
        return kept;
    }

    auto currentLoad(const PlacementTarget& target, MonotonicTime now) -> double
    {
        return decayedTo({ target.m_load, target.m_loadAt }, loadWindow, 0, now).m_count;
    }

    // Puts the less loaded of two home replicas drawn at random first.
    auto putLighterFirst(const PlacementPool& pool, std::vector<std::uint32_t>& ranked, std::size_t homes,
        std::mt19937_64& random, MonotonicTime now) -> void
    {
        if (homes < 2)
            return;
        const auto first = random() % homes;
        const auto second = (first + 1 + random() % (homes - 1)) % homes;
        const auto firstLoad = currentLoad(pool.m_targets[ranked[first]], now);
        const auto secondLoad = currentLoad(pool.m_targets[ranked[second]], now);
        std::swap(ranked[0], ranked[firstLoad <= secondLoad ? first : second]);
    }

} // namespace

auto placementHash(std::string_view text) -> std::uint64_t
{
    return XXH3_64bits(text.data(), text.size());
}

auto makePlacementPool(const UpstreamTable& table, const Configuration& configuration, const PoolName& name)
    -> PlacementPool
{
    auto pool = PlacementPool();
    for (const auto& [upstreamName, upstream] : table.m_upstreams) {
        const auto vm = VmName(upstreamName.value());
        if (upstream.m_pool != name || upstream.m_leaving || isOut(configuration, vm, upstream.m_dataCentre))
            continue;
        pool.m_hasEngines = pool.m_hasEngines || upstream.m_kind == UpstreamKind::Engine;
        pool.m_targets.push_back({ upstreamName, placementHash(upstreamName.value()), 0, {} });
    }
    pool.m_groups.resize(groupCountFor(pool.m_targets.size()));
    for (auto i = std::size_t { 0 }; i < pool.m_targets.size(); ++i)
        pool.m_groups[pool.m_targets[i].m_hash % pool.m_groups.size()].push_back(
            static_cast<std::uint32_t>(i));
    return pool;
}

auto rankTargets(const PlacementPool& pool, std::uint64_t keyHash, std::size_t count)
    -> std::vector<std::uint32_t>
{
    auto groups = std::vector<Ranked>();
    for (auto i = std::size_t { 0 }; i < pool.m_groups.size(); ++i)
        groups.push_back({ mix(keyHash, i), static_cast<std::uint32_t>(i) });
    const auto keptGroups = best(groups, pool.m_groups.size() == 1 ? 1 : 2);
    auto ranked = std::vector<std::uint32_t>();
    auto members = std::vector<Ranked>();
    for (auto i = std::size_t { 0 }; i < keptGroups && ranked.size() < count; ++i) {
        members.clear();
        for (const auto position : pool.m_groups[groups[i].m_position])
            members.push_back({ mix(keyHash, pool.m_targets[position].m_hash), position });
        const auto kept = best(members, count - ranked.size());
        for (auto j = std::size_t { 0 }; j < kept; ++j)
            ranked.push_back(members[j].m_position);
    }
    return ranked;
}

auto chooseTargets(const PlacementPool& pool, std::uint64_t keyHash, std::uint32_t homeReplicas,
    std::mt19937_64& random, MonotonicTime now) -> std::vector<std::uint32_t>
{
    auto ranked = rankTargets(pool, keyHash, std::max<std::size_t>(homeReplicas + 1, maxAttemptsOffered));
    if (ranked.empty())
        return ranked;
    const auto homes = std::min<std::size_t>(homeReplicas, ranked.size());
    putLighterFirst(pool, ranked, homes, random, now);
    if (homes < ranked.size()) {
        const auto load = currentLoad(pool.m_targets[ranked[0]], now);
        const auto nextLoad = currentLoad(pool.m_targets[ranked[homes]], now);
        if (load > busyLoad && nextLoad < load * detourFactor)
            std::swap(ranked[0], ranked[homes]);
    }
    ranked.resize(std::min(ranked.size(), maxAttemptsOffered));
    return ranked;
}

auto noteDispatch(PlacementTarget& target, MonotonicTime now) -> void
{
    const auto load = decayedTo({ target.m_load, target.m_loadAt }, loadWindow, 1, now);
    target.m_load = load.m_count;
    target.m_loadAt = load.m_at;
}

} // namespace marigoldladder
