// The revisions of the store's objects in messages between nodes.
#pragma once

#include "relay/object_cache.h"

#include <cstdint>
#include <vector>

namespace marigoldladder::relay {

// Fills the revisions and eras of a summary or digest, by kind of objects.
template <typename Message> auto fillRevisions(ObjectCache& objects, Message& message) -> void
{
    for (const auto kind : objectKinds) {
        const auto& revision = objects[kind].m_revision;
        message.revisions.push_back(revision.m_revision);
        message.eras.push_back(static_cast<std::uint32_t>(revision.m_era));
    }
}

// Returns the revisions of a summary or digest, by kind of objects.
template <typename Message> auto revisionsOf(const Message& message) -> std::vector<StoreRevision>
{
    auto revisions = std::vector<StoreRevision>();
    for (auto kind = std::size_t { 0 }; kind < message.revisions.size(); ++kind) {
        const auto era = kind < message.eras.size() ? message.eras[kind] : firstEra;
        revisions.push_back({ era, message.revisions[kind] });
    }
    return revisions;
}

} // namespace marigoldladder::relay
