// A store of objects in this process's memory, for tests of what nodes keep there.
#pragma once

#include "relay/object_store.h"

#include <map>
#include <string>
#include <utility>

namespace marigoldladder::relay {

// Its objects outlive the nodes of a test. While `m_isDown`, each call fails.
struct MemoryStore {
    using Key = std::pair<std::string, std::string>; // Kind and name.

    auto find(const std::string& kind, const std::string& name) const -> StoreResult<StoredObject>
    {
        const auto found = m_objects.find({ kind, name });
        if (m_isDown)
            return StoreFailure { StoreFailureType::Unavailable, "down" };
        if (found == m_objects.end())
            return StoreFailure { StoreFailureType::Conflict, "no such object" };
        return found->second;
    }

    auto write(const std::string& kind, StoredObject object, bool creates) -> StoreResult<StoredObject>
    {
        const auto found = find(kind, object.m_name);
        if (m_isDown)
            return StoreFailure { StoreFailureType::Unavailable, "down" };
        if (creates == found.has_value() || (found && found.value().m_revision != object.m_revision))
            return StoreFailure { StoreFailureType::Conflict, "changed" };
        object.m_revision = { m_era, ++m_revision };
        ++m_writes;
        return m_objects[{ kind, object.m_name }] = std::move(object);
    }

    // Returns the calls that nodes make. The store must outlive them.
    auto calls() -> ObjectStore
    {
        auto store = ObjectStore();
        store.m_get = [this](std::string kind, std::string name) -> Awaitable<StoreResult<StoredObject>> {
            co_return find(kind, name);
        };
        store.m_create
            = [this](std::string kind, StoredObject object) -> Awaitable<StoreResult<StoredObject>> {
            co_return write(kind, std::move(object), true);
        };
        store.m_replace
            = [this](std::string kind, StoredObject object) -> Awaitable<StoreResult<StoredObject>> {
            co_return write(kind, std::move(object), false);
        };
        return store;
    }

    std::map<Key, StoredObject> m_objects;
    std::uint64_t m_era = firstEra;
    std::uint64_t m_revision = 0;
    int m_writes = 0;
    bool m_isDown = false;
};

} // namespace marigoldladder::relay
