// Interface to the store of versioned objects that all nodes share, as coroutines. A deployment implements
// it.
#pragma once

#include "marigoldladder/verdict.h"

#include <utility> // Asio 1.74 uses std::exchange in its coroutines without including it.

#include <boost/asio/awaitable.hpp>
#include <chrono>
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
    Conflict, // The object changed meanwhile, exists already or doesn't exist.
    HistoryLost, // The requested changes are no longer kept; a new listing is needed.
};

struct StoreFailure {
    StoreFailureType m_type = StoreFailureType::Unavailable;
    std::string m_message;
};

template <typename T>
using StoreResult = boost::outcome_v2::basic_result<T, StoreFailure, boost::outcome_v2::policy::all_narrow>;

// One object. Content that can't be read is null.
struct StoredObject {
    std::string m_name;
    std::uint64_t m_revision = 0; // The store's revision at the object's last change.
    bool m_deleting = false;
    nlohmann::json m_content;
};

struct ObjectListing {
    std::vector<StoredObject> m_objects;
    std::uint64_t m_revision = 0; // A watch that follows the listing starts here.
    std::uint64_t m_era = 0; // Of the store: how often it returned from an older copy; 0: not stated.
};

struct ObjectChange {
    StoredObject m_object;
    bool m_removed = false;
};

struct ObjectChanges {
    std::vector<ObjectChange> m_changes;
    std::uint64_t m_revision = 0;
};

// How recent a listing must be.
enum class ListingAge {
    Current,
    AnyAge, // May be seconds old; cheap for the store.
};

// Calls of the store. `kind` names a set of objects.
struct ObjectStore {
    std::function<Awaitable<StoreResult<ObjectListing>>(std::string kind, ListingAge)> m_list;
    // Returns the changes after a revision; waits up to `wait` for the first.
    std::function<Awaitable<StoreResult<ObjectChanges>>(
        std::string kind, std::uint64_t revision, std::chrono::milliseconds wait)>
        m_watch;
    std::function<Awaitable<StoreResult<StoredObject>>(std::string kind, std::string name)> m_get;
    std::function<Awaitable<StoreResult<StoredObject>>(std::string kind, StoredObject object)> m_create;
    // Replaces the object if its revision in the store is still the given one.
    std::function<Awaitable<StoreResult<StoredObject>>(std::string kind, StoredObject object)> m_replace;
    std::function<Awaitable<StoreResult<bool>>(std::string kind, std::string name, std::uint64_t revision)>
        m_remove;
};

} // namespace marigoldladder::relay
