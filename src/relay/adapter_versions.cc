#include "relay/adapter_versions.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    // Longest time from the announcement of a version until a node knows of it.
    constexpr auto maxPropagationTime = Milliseconds(1'000);

    // Longest time until a request begins at an engine that has room for it.
    constexpr auto maxStartTime = Milliseconds(1'800);

} // namespace

auto requiredFrom(MonotonicTime knownSince, Milliseconds changeTime) -> MonotonicTime
{
    return knownSince + std::max(changeTime - maxPropagationTime, Milliseconds(0));
}

auto announceVersion(AdapterVersions& versions, const ListedAdapter& adapter, MonotonicTime requiredFrom,
    MonotonicTime now) -> bool
{
    auto& required = versions.m_required[adapter.m_key];
    const auto changesNothing = std::any_of(required.begin(), required.end(), [&](const auto& known) {
        return known.m_version >= adapter.m_version && known.m_requiredFrom <= requiredFrom;
    });
    if (changesNothing)
        return false;
    const auto lowest = lowestVersionAt(versions, adapter.m_key, now).value_or(0);
    std::erase_if(required, [&](const auto& known) {
        const auto isReplaced = known.m_version <= adapter.m_version && known.m_requiredFrom >= requiredFrom;
        return isReplaced || known.m_version < lowest;
    });
    const auto next = std::find_if(required.begin(), required.end(),
        [&](const auto& known) { return known.m_version > adapter.m_version; });
    required.insert(next, { adapter.m_version, requiredFrom });
    return true;
}

auto newestVersion(const AdapterVersions& versions, const std::string& adapter)
    -> std::optional<std::uint64_t>
{
    const auto found = versions.m_required.find(adapter);
    if (found == versions.m_required.end())
        return std::nullopt;
    return found->second.back().m_version;
}

auto lowestVersionAt(const AdapterVersions& versions, const std::string& adapter, MonotonicTime moment)
    -> std::optional<std::uint64_t>
{
    const auto found = versions.m_required.find(adapter);
    if (found == versions.m_required.end())
        return std::nullopt;
    auto lowest = std::optional<std::uint64_t>();
    for (const auto& version : found->second) {
        if (version.m_requiredFrom <= moment)
            lowest = version.m_version;
    }
    return lowest;
}

auto lowestVersionToSend(const AdapterVersions& versions, const std::string& adapter, MonotonicTime now)
    -> std::optional<std::uint64_t>
{
    return lowestVersionAt(versions, adapter, now + maxStartTime);
}

// An engine refuses any version but its own, so the one that it is believed to hold is stated. That guards
// against an engine that is still loading it, and would run the request on an older one.
auto versionToState(const AdapterVersions& versions, const std::string& adapter,
    std::optional<std::uint64_t> held, MonotonicTime now) -> std::optional<std::uint64_t>
{
    const auto newest = newestVersion(versions, adapter);
    const auto lowest = lowestVersionToSend(versions, adapter, now);
    const auto holdsNewest = newest && held && *held >= *newest;
    const auto holdsEnough = lowest && held && *held >= *lowest;
    return holdsNewest || holdsEnough ? held : lowest;
}

} // namespace marigoldladder::relay
