// A node's copy of the store's objects, from which its peers can fetch changes.
//
// Few nodes watch the store; the others fetch the changes since their own revision from a peer that has a
// later one. So does a node whose calls the store refuses.
#pragma once

#include "relay/object_store.h"

#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace marigoldladder::relay {

enum class ObjectKind {
    Configuration,
    Upstreams,
    Evacuations,
    AdapterVersions,
};

inline constexpr auto objectKinds = std::array { ObjectKind::Configuration, ObjectKind::Upstreams,
    ObjectKind::Evacuations, ObjectKind::AdapterVersions };

// A removed object and the store's revision of its removal.
struct Removal {
    std::string m_name;
    std::uint64_t m_revision = 0;
};

// All objects of one kind.
struct KindCache {
    std::map<std::string, StoredObject> m_objects;
    std::deque<Removal> m_removals; // Oldest first.
    std::uint64_t m_revision = 0; // The store's revision of this state; 0: none was received yet.
    std::uint64_t m_removalsKeptSince = 0; // m_removals holds all removals after this revision.
};

// The changes between two revisions.
struct CacheChanges {
    std::vector<ObjectChange> m_changes;
    std::uint64_t m_revision = 0;
    bool m_complete = false; // Lists all objects; any other is removed.
};

using ObjectCache = std::map<ObjectKind, KindCache>;

// Merges a listing into the cache. Returns the resulting changes; none if the listing is older than the
// cache.
auto mergeListing(KindCache&, const ObjectListing&) -> std::vector<ObjectChange>;

// Merges changes into the cache. Returns those that were new to it.
auto mergeChanges(KindCache&, const CacheChanges&) -> std::vector<ObjectChange>;

// Returns the changes that a node at `revision` lacks.
auto changesSince(const KindCache&, std::uint64_t revision) -> CacheChanges;

} // namespace marigoldladder::relay
