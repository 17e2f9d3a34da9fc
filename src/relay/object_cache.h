// The store's objects as a node last knew them, so that nodes can learn changes from each other.
//
// Few nodes watch the store; the others ask a peer that knows a later revision for what changed since theirs.
// A node that the store turns away learns from its peers in the same way.
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

// An object that was removed, and when.
struct Removal {
    std::string m_name;
    std::uint64_t m_revision = 0;
};

// All objects of one kind.
struct KindCache {
    std::map<std::string, StoredObject> m_objects;
    std::deque<Removal> m_removals; // Oldest first.
    std::uint64_t m_revision = 0; // The store's counter that this state belongs to; 0: nothing is known.
    std::uint64_t m_removalsKeptSince = 0; // Removals after this revision are all kept.
};

// What changed between two revisions.
struct CacheChanges {
    std::vector<ObjectChange> m_changes;
    std::uint64_t m_revision = 0;
    bool m_complete = false; // All objects are there, so that any other is gone.
};

using ObjectCache = std::map<ObjectKind, KindCache>;

// Takes a listing over. Returns the changes that it means; none when it is older than what is known.
auto mergeListing(KindCache&, const ObjectListing&) -> std::vector<ObjectChange>;

// Takes changes over, passing over those that are known; returns the rest.
auto mergeChanges(KindCache&, const CacheChanges&) -> std::vector<ObjectChange>;

// Returns what a node that knows `revision` lacks.
auto changesSince(const KindCache&, std::uint64_t revision) -> CacheChanges;

} // namespace marigoldladder::relay
