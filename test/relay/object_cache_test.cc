#include "relay/object_cache.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    auto object(const std::string& name, std::uint64_t revision) -> StoredObject
    {
        auto result = StoredObject();
        result.m_name = name;
        result.m_revision = revision;
        result.m_content = revision;
        return result;
    }

    auto listing(std::uint64_t revision, std::vector<StoredObject> objects) -> ObjectListing
    {
        return ObjectListing { std::move(objects), revision };
    }

    TEST(ObjectCacheTest, APeerReceivesChangesAndRemovals)
    {
        auto watcher = KindCache();
        auto follower = KindCache();
        (void)mergeListing(watcher, listing(10, { object("a", 3), object("b", 7) }));
        (void)mergeChanges(follower, changesSince(watcher, 0));
        EXPECT_EQ(follower.m_objects.size(), 2U);
        (void)mergeChanges(watcher, { { { object("b", 7), true }, { object("c", 12), false } }, 12, false });
        const auto changes = mergeChanges(follower, changesSince(watcher, follower.m_revision));
        EXPECT_EQ(changes.size(), 2U);
        EXPECT_EQ(follower.m_objects.count("b"), 0U);
        EXPECT_EQ(follower.m_objects.count("c"), 1U);
        EXPECT_EQ(follower.m_revision, 12U);
    }

    TEST(ObjectCacheTest, IgnoresOlderListingsChangesAndObjects)
    {
        auto cache = KindCache();
        (void)mergeListing(cache, listing(10, { object("a", 9) }));
        EXPECT_TRUE(mergeListing(cache, listing(8, { object("a", 5) })).empty());
        EXPECT_TRUE(mergeChanges(cache, { { { object("a", 5), false } }, 9, false }).empty());
        EXPECT_TRUE(mergeChanges(cache, { { { object("a", 5), false } }, 11, false }).empty())
            << "expected no change, as the cached object is newer";
        EXPECT_EQ(cache.m_objects.at("a").m_revision, 9U);
    }

    TEST(ObjectCacheTest, ANodeThatLacksMoreThanTheKeptRemovalsReceivesAllObjects)
    {
        auto watcher = KindCache();
        auto follower = KindCache();
        (void)mergeListing(watcher, listing(1, { object("old", 1) }));
        (void)mergeChanges(follower, changesSince(watcher, 0));
        for (auto revision = std::uint64_t { 2 }; revision < 2'000; revision += 2) {
            const auto name = "n" + std::to_string(revision);
            (void)mergeChanges(watcher, { { { object(name, revision), false } }, revision, false });
            (void)mergeChanges(watcher, { { { object(name, revision), true } }, revision + 1, false });
        }
        const auto changes = changesSince(watcher, follower.m_revision);
        EXPECT_TRUE(changes.m_complete);
        (void)mergeChanges(follower, changes);
        EXPECT_EQ(follower.m_objects.size(), 1U);
    }

    TEST(ObjectCacheTest, AnObjectRecreatedAfterItsRemovalIsKept)
    {
        auto watcher = KindCache();
        auto follower = KindCache();
        (void)mergeListing(watcher, listing(1, { object("a", 1) }));
        (void)mergeChanges(follower, changesSince(watcher, 0));
        (void)mergeChanges(watcher, { { { object("a", 1), true } }, 5, false });
        (void)mergeChanges(watcher, { { { object("a", 6), false } }, 6, false });
        (void)mergeChanges(follower, changesSince(watcher, 1));
        EXPECT_EQ(follower.m_objects.at("a").m_revision, 6U);
    }

} // namespace
} // namespace marigoldladder::relay
