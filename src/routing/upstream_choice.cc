#include "routing/upstream_choice.h"

#include <algorithm>
#include <utility>

namespace marigoldladder {

namespace {

    // Keeps the loads counted so far.
    auto takeLoads(PlacementPool& pool, const PlacementPool& before) -> void
    {
        auto known = std::unordered_map<UpstreamName, const PlacementTarget*>();
        for (const auto& target : before.m_targets)
            known.emplace(target.m_name, &target);
        for (auto& target : pool.m_targets) {
            const auto found = known.find(target.m_name);
            if (found == known.end())
                continue;
            target.m_load = found->second->m_load;
            target.m_loadAt = found->second->m_loadAt;
        }
    }

    constexpr auto refusalMemory = std::chrono::seconds(2);
    constexpr auto maxRefusals = std::size_t { 4096 };

    // More than an adapter ever has home replicas.
    constexpr auto rankedForRetry = std::size_t { 20 };

    auto namesOf(const PlacementPool& pool, const std::vector<std::uint32_t>& targets)
        -> std::vector<UpstreamName>
    {
        auto names = std::vector<UpstreamName>();
        for (const auto target : targets)
            names.push_back(pool.m_targets[target].m_name);
        return names;
    }

} // namespace

UpstreamChooser::UpstreamChooser(Blackboard& blackboard)
    : m_blackboard(blackboard)
{
}

auto UpstreamChooser::currentVersion() const -> TableVersion
{
    auto version = m_blackboard.m_upstreams.read([](const UpstreamTable& table) {
        return TableVersion { table.m_version, table.m_upstreams.size(), 0 };
    });
    version.m_revision = m_blackboard.m_configuration.read(
        [](const Configuration& configuration) { return configuration.m_revision; });
    return version;
}

// Call it with the lock held.
auto UpstreamChooser::poolOf(const PoolName& name) -> PlacementPool&
{
    const auto version = currentVersion();
    auto& known = m_pools[name];
    if (known.m_version == version)
        return known.m_pool;
    const auto upstreams = m_blackboard.m_upstreams.copy();
    auto pool = m_blackboard.m_configuration.read([&](const Configuration& configuration) {
        return makePlacementPool(upstreams, configuration, name);
    });
    m_entries = m_blackboard.m_membership.read([](const Membership& membership) {
        const auto alive = std::count_if(membership.m_members.begin(), membership.m_members.end(),
            [](const auto& row) { return row.second.m_state == MemberState::Alive; });
        return static_cast<std::size_t>(std::max<std::ptrdiff_t>(alive, 1));
    });
    takeLoads(pool, known.m_pool);
    known = { std::move(pool), version };
    return known.m_pool;
}

auto UpstreamChooser::choose(const PoolName& name, std::string_view affinityKey) -> std::vector<UpstreamName>
{
    const auto now = std::chrono::steady_clock::now();
    const auto hash = placementHash(affinityKey);
    const auto lock = std::lock_guard(m_mutex);
    auto& pool = poolOf(name);
    const auto replicas = pool.m_hasEngines ? noteRequest(m_popularity, hash, m_entries, now) : 1;
    auto targets = chooseTargets(pool, hash, replicas, m_random, now);
    putRefusedLast(pool, hash, targets, now);
    if (!targets.empty())
        noteDispatch(pool.m_targets[targets.front()], now);
    return namesOf(pool, targets);
}

// Call it with the lock held.
auto UpstreamChooser::putRefusedLast(const PlacementPool& pool, std::uint64_t keyHash,
    std::vector<std::uint32_t>& targets, MonotonicTime now) const -> void
{
    if (m_refusedUntil.empty())
        return;
    std::stable_partition(targets.begin(), targets.end(), [&](std::uint32_t target) {
        const auto refused = m_refusedUntil.find(keyHash ^ pool.m_targets[target].m_hash);
        return refused == m_refusedUntil.end() || refused->second <= now;
    });
}

auto UpstreamChooser::noteRefusal(std::string_view affinityKey, const UpstreamName& upstream) -> void
{
    const auto now = std::chrono::steady_clock::now();
    const auto lock = std::lock_guard(m_mutex);
    if (m_refusedUntil.size() >= maxRefusals)
        std::erase_if(m_refusedUntil, [&](const auto& row) { return row.second <= now; });
    if (m_refusedUntil.size() < maxRefusals)
        m_refusedUntil[placementHash(affinityKey) ^ placementHash(upstream.value())] = now + refusalMemory;
}

auto UpstreamChooser::rank(const PoolName& name, std::string_view affinityKey, std::size_t failed)
    -> std::vector<UpstreamName>
{
    const auto lock = std::lock_guard(m_mutex);
    const auto& pool = poolOf(name);
    return namesOf(pool, rankTargets(pool, placementHash(affinityKey), rankedForRetry + failed));
}

} // namespace marigoldladder
