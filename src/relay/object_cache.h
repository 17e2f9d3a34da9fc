// A node's copy of the store's objects, from which its peers can fetch changes.
//
// Few nodes watch the store; the others fetch the changes since their own revision from a peer that has a
// later one. So does a node whose calls the store refuses.
//
// States are ordered by era and revision. The first state of a new era is that of an older copy, so what is
// known of an object stays if the object's own version says that it is newer, until the store has it again.
#pragma once

#include "relay/object_store.h"

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
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
    StoreRevision m_revision;
};

// How objects of one kind change, which decides what of them outlives the return to an older copy.
struct KindRules {
    // Whether the second content is an earlier state of the object than the first, by what the contents say
    // themselves. Null: they don't say.
    std::function<bool(const nlohmann::json& known, const nlohmann::json& update)> m_isEarlier;
    // Whether that also holds for states of one era, whose revisions tell which is later.
    bool m_holdsWithinEra = false;
    bool m_outlivesRestore = false; // Objects that a restored store lacks are kept.
};

// All objects of one kind.
struct KindCache {
    std::map<std::string, StoredObject> m_objects;
    std::deque<Removal> m_removals; // Oldest first.
    StoreRevision m_revision; // Of this state; zero: none was received yet.
    StoreRevision m_removalsKeptSince; // m_removals holds all removals after this revision.
    bool m_isPartial = false; // The store may have objects that the last listing didn't reach.
};

// The changes between two revisions.
struct CacheChanges {
    std::vector<ObjectChange> m_changes;
    StoreRevision m_revision;
    bool m_complete = false; // Lists all objects; any other is removed.
};

using ObjectCache = std::map<ObjectKind, KindCache>;

// Merges a listing into the cache. Returns the resulting changes; none if the listing is older than the
// cache. One that isn't complete removes nothing.
auto mergeListing(KindCache&, const ObjectListing&, const KindRules&) -> std::vector<ObjectChange>;

// Merges changes into the cache. Returns those that were new to it.
auto mergeChanges(KindCache&, const CacheChanges&, const KindRules&) -> std::vector<ObjectChange>;

// Returns the changes that a node at `revision` lacks: all objects if that is of another era. They are never
// complete if the cache is partial, so that they remove nothing of what the other node has.
auto changesSince(const KindCache&, StoreRevision) -> CacheChanges;

} // namespace marigoldladder::relay
