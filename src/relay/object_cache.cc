#include "relay/object_cache.h"

#include <algorithm>
#include <set>

namespace marigoldladder::relay {

namespace {

    constexpr auto maxKeptRemovals = std::size_t { 512 }; // A peer that lacks more fetches all objects.

    auto recordRemoval(KindCache& cache, const std::string& name, std::uint64_t revision) -> void
    {
        cache.m_removals.push_back({ name, revision });
        while (cache.m_removals.size() > maxKeptRemovals) {
            cache.m_removalsKeptSince = cache.m_removals.front().m_revision;
            cache.m_removals.pop_front();
        }
    }

    auto mergeObject(KindCache& cache, const StoredObject& object, std::vector<ObjectChange>& changes) -> void
    {
        auto& known = cache.m_objects[object.m_name];
        if (known.m_revision != 0 && known.m_revision >= object.m_revision)
            return;
        known = object;
        changes.push_back({ object, false });
    }

    auto removeOthers(KindCache& cache, const std::set<std::string>& present, std::uint64_t revision,
        std::vector<ObjectChange>& changes) -> void
    {
        for (auto at = cache.m_objects.begin(); at != cache.m_objects.end();) {
            if (present.contains(at->first)) {
                ++at;
                continue;
            }
            changes.push_back({ at->second, true });
            recordRemoval(cache, at->first, revision);
            at = cache.m_objects.erase(at);
        }
    }

} // namespace

auto mergeListing(KindCache& cache, const ObjectListing& listing) -> std::vector<ObjectChange>
{
    auto changes = std::vector<ObjectChange>();
    if (listing.m_revision < cache.m_revision)
        return changes;
    auto present = std::set<std::string>();
    for (const auto& object : listing.m_objects) {
        present.insert(object.m_name);
        mergeObject(cache, object, changes);
    }
    removeOthers(cache, present, listing.m_revision, changes);
    if (cache.m_revision == 0)
        cache.m_removalsKeptSince = listing.m_revision;
    cache.m_revision = listing.m_revision;
    return changes;
}

auto mergeChanges(KindCache& cache, const CacheChanges& update) -> std::vector<ObjectChange>
{
    auto changes = std::vector<ObjectChange>();
    if (update.m_revision <= cache.m_revision)
        return changes;
    auto present = std::set<std::string>();
    for (const auto& change : update.m_changes) {
        const auto& name = change.m_object.m_name;
        if (!change.m_removed) {
            present.insert(name);
            mergeObject(cache, change.m_object, changes);
        } else if (cache.m_objects.erase(name) > 0) {
            changes.push_back(change);
            recordRemoval(cache, name, update.m_revision);
        }
    }
    if (update.m_complete)
        removeOthers(cache, present, update.m_revision, changes);
    if (cache.m_revision == 0)
        cache.m_removalsKeptSince = update.m_revision;
    cache.m_revision = update.m_revision;
    return changes;
}

auto changesSince(const KindCache& cache, std::uint64_t revision) -> CacheChanges
{
    auto changes = CacheChanges();
    changes.m_revision = cache.m_revision;
    changes.m_complete = revision < cache.m_removalsKeptSince;
    for (const auto& removal : cache.m_removals) {
        if (removal.m_revision > revision && !changes.m_complete
            && !cache.m_objects.contains(removal.m_name)) {
            auto object = StoredObject();
            object.m_name = removal.m_name;
            object.m_revision = removal.m_revision;
            changes.m_changes.push_back({ std::move(object), true });
        }
    }
    for (const auto& [name, object] : cache.m_objects) {
        if (changes.m_complete || object.m_revision > revision)
            changes.m_changes.push_back({ object, false });
    }
    return changes;
}

} // namespace marigoldladder::relay
