#include "relay/object_cache.h"

#include <algorithm>
#include <set>

namespace marigoldladder::relay {

namespace {

    constexpr auto maxKeptRemovals = std::size_t { 512 }; // A peer that lacks more fetches all objects.

    auto isEmpty(const KindCache& cache) -> bool
    {
        return cache.m_revision == StoreRevision();
    }

    auto recordRemoval(KindCache& cache, const std::string& name, StoreRevision revision) -> void
    {
        cache.m_removals.push_back({ name, revision });
        while (cache.m_removals.size() > maxKeptRemovals) {
            cache.m_removalsKeptSince = cache.m_removals.front().m_revision;
            cache.m_removals.pop_front();
        }
    }

    // Whether the update is an earlier state than the known one by their contents.
    auto isEarlier(const KindRules& rules, const StoredObject& known, const StoredObject& update) -> bool
    {
        const auto applies = rules.m_holdsWithinEra || known.m_revision.m_era != update.m_revision.m_era;
        return rules.m_isEarlier && applies && rules.m_isEarlier(known.m_content, update.m_content);
    }

    // An object's own version goes before the revision: a restored store has earlier states at later
    // revisions.
    auto mergeObject(KindCache& cache, const StoredObject& object, const KindRules& rules,
        std::vector<ObjectChange>& changes) -> void
    {
        const auto [found, isNew] = cache.m_objects.try_emplace(object.m_name, object);
        auto& known = found->second;
        if (isNew) {
            changes.push_back({ object, false });
            return;
        }
        const auto newest = std::max(known.m_revision, object.m_revision);
        const auto keepsKnown = known.m_content == object.m_content || isEarlier(rules, known, object)
            || (known.m_revision >= object.m_revision && !isEarlier(rules, object, known));
        if (!keepsKnown) {
            known = object;
            changes.push_back({ object, false });
        }
        known.m_revision = newest;
    }

    auto removeOthers(KindCache& cache, const std::set<std::string>& present, StoreRevision revision,
        const KindRules& rules, std::vector<ObjectChange>& changes) -> void
    {
        for (auto at = cache.m_objects.begin(); at != cache.m_objects.end();) {
            const auto isKept = rules.m_outlivesRestore && at->second.m_revision.m_era < revision.m_era;
            if (isKept || present.contains(at->first)) {
                ++at;
                continue;
            }
            changes.push_back({ at->second, true });
            recordRemoval(cache, at->first, revision);
            at = cache.m_objects.erase(at);
        }
    }

    // Merges a list of all objects, or of a part of them, which removes none.
    auto mergeAll(KindCache& cache, const std::vector<const StoredObject*>& objects, StoreRevision revision,
        bool isComplete, const KindRules& rules) -> std::vector<ObjectChange>
    {
        auto changes = std::vector<ObjectChange>();
        auto present = std::set<std::string>();
        for (const auto* object : objects) {
            present.insert(object->m_name);
            mergeObject(cache, *object, rules, changes);
        }
        const auto wasEmpty = isEmpty(cache);
        const auto isNewEra = !wasEmpty && revision.m_era != cache.m_revision.m_era;
        if (isNewEra)
            cache.m_removals.clear();
        if (isComplete)
            removeOthers(cache, present, revision, rules, changes);
        cache.m_isPartial = !isComplete;
        if (wasEmpty || isNewEra)
            cache.m_removalsKeptSince = revision;
        cache.m_revision = revision;
        return changes;
    }

} // namespace

auto mergeListing(KindCache& cache, const ObjectListing& listing, const KindRules& rules)
    -> std::vector<ObjectChange>
{
    if (listing.m_revision < cache.m_revision)
        return {};
    auto objects = std::vector<const StoredObject*>();
    for (const auto& object : listing.m_objects)
        objects.push_back(&object);
    return mergeAll(cache, objects, listing.m_revision, listing.m_complete, rules);
}

auto mergeChanges(KindCache& cache, const CacheChanges& update, const KindRules& rules)
    -> std::vector<ObjectChange>
{
    if (update.m_revision < cache.m_revision)
        return {};
    if (update.m_complete) {
        auto objects = std::vector<const StoredObject*>();
        for (const auto& change : update.m_changes)
            objects.push_back(&change.m_object);
        return mergeAll(cache, objects, update.m_revision, true, rules);
    }
    // Changes since a state of another era say nothing about what this cache lacks.
    if (!isEmpty(cache) && update.m_revision.m_era != cache.m_revision.m_era)
        return {};
    auto changes = std::vector<ObjectChange>();
    for (const auto& change : update.m_changes) {
        if (!change.m_removed) {
            mergeObject(cache, change.m_object, rules, changes);
        } else if (cache.m_objects.erase(change.m_object.m_name) > 0) {
            changes.push_back(change);
            recordRemoval(cache, change.m_object.m_name, update.m_revision);
        }
    }
    if (isEmpty(cache))
        cache.m_removalsKeptSince = update.m_revision;
    cache.m_revision = update.m_revision;
    return changes;
}

auto changesSince(const KindCache& cache, StoreRevision revision) -> CacheChanges
{
    auto changes = CacheChanges();
    changes.m_revision = cache.m_revision;
    const auto needsAll = revision.m_era != cache.m_revision.m_era || revision < cache.m_removalsKeptSince;
    changes.m_complete = needsAll && !cache.m_isPartial;
    for (const auto& removal : cache.m_removals) {
        if (removal.m_revision > revision && !needsAll && !cache.m_objects.contains(removal.m_name)) {
            auto object = StoredObject();
            object.m_name = removal.m_name;
            object.m_revision = removal.m_revision;
            changes.m_changes.push_back({ std::move(object), true });
        }
    }
    for (const auto& [name, object] : cache.m_objects) {
        if (needsAll || object.m_revision > revision)
            changes.m_changes.push_back({ object, false });
    }
    return changes;
}

} // namespace marigoldladder::relay
