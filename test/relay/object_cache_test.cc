#include "relay/object_cache.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    const auto noRules = KindRules();

    auto at(std::uint64_t revision, std::uint64_t era = 1) -> StoreRevision
    {
        return StoreRevision { era, revision };
    }

    auto object(const std::string& name, std::uint64_t revision) -> StoredObject
    {
        auto result = StoredObject();
        result.m_name = name;
        result.m_revision = at(revision);
        result.m_content = revision;
        return result;
    }

    auto listing(std::uint64_t revision, std::vector<StoredObject> objects) -> ObjectListing
    {
        return ObjectListing { std::move(objects), at(revision) };
    }

    auto changes(std::uint64_t revision, std::vector<ObjectChange> list) -> CacheChanges
    {
        return CacheChanges { std::move(list), at(revision), false };
    }

    TEST(ObjectCacheTest, APeerReceivesChangesAndRemovals)
    {
        auto watcher = KindCache();
        auto follower = KindCache();
        (void)mergeListing(watcher, listing(10, { object("a", 3), object("b", 7) }), noRules);
        (void)mergeChanges(follower, changesSince(watcher, {}), noRules);
        EXPECT_EQ(follower.m_objects.size(), 2U);
        (void)mergeChanges(
            watcher, changes(12, { { object("b", 7), true }, { object("c", 12), false } }), noRules);
        const auto news = mergeChanges(follower, changesSince(watcher, follower.m_revision), noRules);
        EXPECT_EQ(news.size(), 2U);
        EXPECT_EQ(follower.m_objects.count("b"), 0U);
        EXPECT_EQ(follower.m_objects.count("c"), 1U);
        EXPECT_EQ(follower.m_revision, at(12));
    }

    auto incomplete(ObjectListing listing) -> ObjectListing
    {
        listing.m_complete = false;
        return listing;
    }

    TEST(ObjectCacheTest, AListingThatEndsTooSoonRemovesNothing)
    {
        auto cache = KindCache();
        (void)mergeListing(cache, listing(10, { object("a", 3), object("b", 7) }), noRules);
        (void)mergeListing(cache, incomplete(listing(20, { object("a", 15) })), noRules);
        EXPECT_EQ(cache.m_objects.at("a").m_revision, at(15));
        EXPECT_TRUE(cache.m_objects.contains("b"));
        EXPECT_EQ(cache.m_revision, at(20));
    }

    TEST(ObjectCacheTest, ANodeThatReadAPartOfAListingTakesNothingFromItsPeers)
    {
        auto partial = KindCache();
        auto whole = KindCache();
        (void)mergeListing(whole, listing(10, { object("a", 3), object("b", 7) }), noRules);
        (void)mergeListing(partial, incomplete(listing(20, { object("a", 15) })), noRules);
        (void)mergeChanges(whole, changesSince(partial, whole.m_revision), noRules);
        EXPECT_EQ(whole.m_objects.at("a").m_revision, at(15));
        EXPECT_TRUE(whole.m_objects.contains("b"));
        (void)mergeListing(partial, listing(30, { object("a", 15) }), noRules);
        (void)mergeChanges(whole, changesSince(partial, at(10)), noRules);
        EXPECT_FALSE(whole.m_objects.contains("b")) << "expected a whole listing to count";
    }

    TEST(ObjectCacheTest, IgnoresOlderListingsChangesAndObjects)
    {
        auto cache = KindCache();
        (void)mergeListing(cache, listing(10, { object("a", 9) }), noRules);
        EXPECT_TRUE(mergeListing(cache, listing(8, { object("a", 5) }), noRules).empty());
        EXPECT_TRUE(mergeChanges(cache, changes(9, { { object("a", 5), false } }), noRules).empty());
        EXPECT_TRUE(mergeChanges(cache, changes(11, { { object("a", 5), false } }), noRules).empty())
            << "expected no change, as the cached object is newer";
        EXPECT_EQ(cache.m_objects.at("a").m_revision, at(9));
    }

    TEST(ObjectCacheTest, ANodeThatLacksMoreThanTheKeptRemovalsReceivesAllObjects)
    {
        auto watcher = KindCache();
        auto follower = KindCache();
        (void)mergeListing(watcher, listing(1, { object("old", 1) }), noRules);
        (void)mergeChanges(follower, changesSince(watcher, {}), noRules);
        for (auto revision = std::uint64_t { 2 }; revision < 2'000; revision += 2) {
            const auto name = "n" + std::to_string(revision);
            (void)mergeChanges(watcher, changes(revision, { { object(name, revision), false } }), noRules);
            (void)mergeChanges(watcher, changes(revision + 1, { { object(name, revision), true } }), noRules);
        }
        const auto news = changesSince(watcher, follower.m_revision);
        EXPECT_TRUE(news.m_complete);
        (void)mergeChanges(follower, news, noRules);
        EXPECT_EQ(follower.m_objects.size(), 1U);
    }

    TEST(ObjectCacheTest, AnObjectRecreatedAfterItsRemovalIsKept)
    {
        auto watcher = KindCache();
        auto follower = KindCache();
        (void)mergeListing(watcher, listing(1, { object("a", 1) }), noRules);
        (void)mergeChanges(follower, changesSince(watcher, {}), noRules);
        (void)mergeChanges(watcher, changes(5, { { object("a", 1), true } }), noRules);
        (void)mergeChanges(watcher, changes(6, { { object("a", 6), false } }), noRules);
        (void)mergeChanges(follower, changesSince(watcher, at(1)), noRules);
        EXPECT_EQ(follower.m_objects.at("a").m_revision, at(6));
    }

} // namespace
} // namespace marigoldladder::relay
