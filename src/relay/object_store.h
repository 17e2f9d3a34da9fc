// Interface to the store of versioned objects that all nodes share, as coroutines. A deployment implements
// it.
#pragma once

#include "marigoldladder/verdict.h"

#include <utility> // Asio 1.74 uses std::exchange in its coroutines without including it.

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace marigoldladder::relay {

template <typename T> using Awaitable = boost::asio::awaitable<T>;

enum class StoreFailureType {
    Unavailable, // No answer; the call may or may not have been carried out.
    Refused, // The call was not carried out.
    Rejected, // The same, and the store would not carry it out later either.
    Conflict, // The object changed meanwhile, exists already or doesn't exist.
    HistoryLost, // The requested changes are no longer kept, or are of an earlier era; a new listing is
                 // needed.
};

struct StoreFailure {
    StoreFailureType m_type = StoreFailureType::Unavailable;
    std::string m_message;
};

// Whether a call certainly changed nothing, and says nothing of the object either.
inline auto wasNotCarriedOut(const StoreFailure& failure) -> bool
{
    return failure.m_type == StoreFailureType::Refused || failure.m_type == StoreFailureType::Rejected;
}

template <typename T>
using StoreResult = boost::outcome_v2::basic_result<T, StoreFailure, boost::outcome_v2::policy::all_narrow>;

// The era of a store that never returned from an older copy, and of answers and peers that state none.
inline constexpr auto firstEra = std::uint64_t { 1 };

// Identifies a state of the store, or of one object at its last change.
//
// The era rises each time that the store returns from an older copy. Revisions of different eras can't be
// compared: the restored store assigns the revisions after the copy's a second time.
struct StoreRevision {
    std::uint64_t m_era = 0; // From `firstEra` on; 0: unknown.
    std::uint64_t m_revision = 0; // 0: unknown.

    auto operator<=>(const StoreRevision&) const = default; // NOLINT(modernize-use-nullptr): false positive.
};

// One object. Content that can't be read is null, and so is that of an object whose name can't be.
struct StoredObject {
    std::string m_name; // Any bytes; empty if the object has none.
    StoreRevision m_revision; // Of the object's last change.
    bool m_deleting = false;
    nlohmann::json m_content;
};

struct ObjectListing {
    std::vector<StoredObject> m_objects;
    StoreRevision m_revision; // A watch that follows the listing starts here.
    bool m_complete = true; // False: the store may have objects that aren't listed.
    std::string m_readUpTo {}; // The name of the last object read, unless the listing is complete.
};

struct ObjectChange {
    StoredObject m_object;
    bool m_removed = false;
};

struct ObjectChanges {
    std::vector<ObjectChange> m_changes;
    StoreRevision m_revision;
};

// How recent a listing must be.
enum class ListingAge {
    Current,
    AnyAge, // May be seconds old; cheap for the store.
};

// Calls of the store. `kind` names a set of objects.
struct ObjectStore {
    std::function<Awaitable<StoreResult<ObjectListing>>(std::string kind, ListingAge)> m_list;
    // Returns the changes after a revision; waits up to `wait` for the first. Fails with `HistoryLost` if the
    // store is of another era than the revision.
    std::function<Awaitable<StoreResult<ObjectChanges>>(
        std::string kind, StoreRevision after, std::chrono::milliseconds wait)>
        m_watch;
    std::function<Awaitable<StoreResult<StoredObject>>(std::string kind, std::string name)> m_get;
    std::function<Awaitable<StoreResult<StoredObject>>(std::string kind, StoredObject object)> m_create;
    // Replaces the object if its revision in the store is still the given one. The store doesn't compare
    // eras: a success whose revision is of another era may have replaced another state.
    std::function<Awaitable<StoreResult<StoredObject>>(std::string kind, StoredObject object)> m_replace;
    std::function<Awaitable<StoreResult<bool>>(std::string kind, std::string name, std::uint64_t revision)>
        m_remove;
};

} // namespace marigoldladder::relay
