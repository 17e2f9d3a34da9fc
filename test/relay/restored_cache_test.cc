// Caches of a store that returns from an older copy and assigns the same revisions again.
#include "relay/object_cache.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldladder::relay {
namespace {

    // Objects with a version of their own, such as configurations.
    auto versionedRules() -> KindRules
    {
        const auto isEarlier = [](const nlohmann::json& known, const nlohmann::json& update) {
            return update.get<int>() < known.get<int>();
        };
        return KindRules { isEarlier, true, true };
    }

    auto object(const std::string& name, StoreRevision revision, int content) -> StoredObject
    {
        auto result = StoredObject();
        result.m_name = name;
        result.m_revision = revision;
        result.m_content = content;
        return result;
    }

    class RestoredCacheTest : public testing::Test {
    protected:
        auto list(KindCache& cache, StoreRevision revision, std::vector<StoredObject> objects)
            -> std::vector<ObjectChange>
        {
            return mergeListing(cache, ObjectListing { std::move(objects), revision }, m_rules);
        }

        auto write(KindCache& cache, StoreRevision revision, int content) -> std::vector<ObjectChange>
        {
            const auto update
                = CacheChanges { { { object("main", revision, content), false } }, revision, false };
            return mergeChanges(cache, update, m_rules);
        }

        auto fetch(KindCache& follower, const KindCache& peer) -> std::vector<ObjectChange>
        {
            return mergeChanges(follower, changesSince(peer, follower.m_revision), m_rules);
        }

        KindRules m_rules = versionedRules();
        KindCache m_cache;
    };

    TEST_F(RestoredCacheTest, TakesWhatIsWrittenAfterARestoreAtALowerRevision)
    {
        (void)list(m_cache, { 1, 90 }, { object("main", { 1, 88 }, 13) });
        (void)list(m_cache, { 2, 40 }, { object("main", { 2, 30 }, 9) });
        EXPECT_EQ(write(m_cache, { 2, 44 }, 16).size(), 1U);
        EXPECT_EQ(m_cache.m_objects.at("main").m_content, 16);
        EXPECT_EQ(m_cache.m_revision, (StoreRevision { 2, 44 }));
    }

    TEST_F(RestoredCacheTest, KeepsANewerObjectThanTheCopyHas)
    {
        (void)list(m_cache, { 1, 90 }, { object("main", { 1, 88 }, 13) });
        EXPECT_TRUE(list(m_cache, { 2, 40 }, { object("main", { 2, 30 }, 9) }).empty());
        EXPECT_EQ(m_cache.m_objects.at("main").m_content, 13);
        EXPECT_TRUE(write(m_cache, { 2, 41 }, 11).empty()) << "an earlier version written again";
        EXPECT_EQ(m_cache.m_objects.at("main").m_content, 13);
    }

    TEST_F(RestoredCacheTest, KeepsAnObjectThatTheCopyLacksWhereTheKindOutlivesARestore)
    {
        (void)list(m_cache, { 1, 90 }, { object("main", { 1, 88 }, 13) });
        EXPECT_TRUE(list(m_cache, { 2, 40 }, {}).empty());
        EXPECT_EQ(m_cache.m_objects.count("main"), 1U);
        m_rules.m_outlivesRestore = false;
        const auto changes = list(m_cache, { 3, 20 }, {});
        ASSERT_EQ(changes.size(), 1U);
        EXPECT_TRUE(changes[0].m_removed);
    }

    TEST_F(RestoredCacheTest, IgnoresALateAnswerOfAnEarlierEra)
    {
        (void)list(m_cache, { 2, 40 }, { object("main", { 2, 30 }, 9) });
        EXPECT_TRUE(list(m_cache, { 1, 95 }, {}).empty());
        EXPECT_TRUE(write(m_cache, { 1, 96 }, 5).empty());
        EXPECT_EQ(m_cache.m_revision, (StoreRevision { 2, 40 }));
    }

    TEST_F(RestoredCacheTest, ANodeThatListsTheCopyReceivesTheNewerObjectFromAPeer)
    {
        auto started = KindCache();
        (void)list(m_cache, { 1, 90 }, { object("main", { 1, 88 }, 13) });
        (void)list(m_cache, { 2, 40 }, { object("main", { 2, 30 }, 9) });
        (void)list(started, { 2, 40 }, { object("main", { 2, 30 }, 9) });
        (void)mergeChanges(started, changesSince(m_cache, StoreRevision()), m_rules);
        EXPECT_EQ(started.m_objects.at("main").m_content, 13);
    }

    TEST_F(RestoredCacheTest, APeerOfAnEarlierEraReceivesAllObjects)
    {
        auto follower = KindCache();
        (void)list(follower, { 1, 90 }, { object("main", { 1, 88 }, 13) });
        (void)list(m_cache, { 2, 40 }, { object("main", { 2, 30 }, 9), object("new", { 2, 39 }, 1) });
        EXPECT_TRUE(changesSince(m_cache, follower.m_revision).m_complete);
        (void)fetch(follower, m_cache);
        EXPECT_EQ(follower.m_revision, m_cache.m_revision);
        EXPECT_EQ(follower.m_objects.at("main").m_content, 13);
        EXPECT_EQ(follower.m_objects.count("new"), 1U);
    }

    // A store whose object's version rises with each write, and that returns from copies of itself.
    struct ModelStore {
        StoreRevision m_revision { 1, 1 };
        StoredObject m_object = object("main", { 1, 1 }, 1);
    };

    // Several caches list and watch the store and fetch from each other in any order, answers may arrive
    // late, and caches may start anew.
    RC_GTEST_PROP(RestoredCachePropertyTest, NoCacheGoesBackAndAllAgreeOnTheNewestInTheEnd, ())
    {
        constexpr auto caches = std::size_t { 4 };
        const auto rules = versionedRules();
        auto store = ModelStore();
        auto copy = store;
        auto newest = 1;
        auto nodes = std::vector<KindCache>(caches);
        auto late = std::vector<ObjectListing>();
        const auto listingOf = [&] { return ObjectListing { { store.m_object }, store.m_revision }; };
        const auto write = [&](int version) {
            ++store.m_revision.m_revision;
            store.m_object = object("main", store.m_revision, version);
        };
        const auto steps = *rc::gen::inRange(10, 120);
        for (auto step = 0; step < steps; ++step) {
            const auto index = *rc::gen::inRange<std::size_t>(0, caches);
            const auto other = *rc::gen::inRange<std::size_t>(0, caches);
            auto& node = nodes[index];
            const auto known
                = node.m_objects.contains("main") ? node.m_objects.at("main").m_content.get<int>() : 0;
            switch (*rc::gen::inRange(0, 8)) {
            case 0:
                write(++newest);
                break;
            case 1:
                copy = store;
                break;
            case 2: {
                const auto era = store.m_revision.m_era + 1;
                store = copy;
                store.m_revision.m_era = era;
                store.m_object.m_revision.m_era = era;
                break;
            }
            case 3:
                (void)mergeListing(node, listingOf(), rules);
                break;
            case 4:
                late.push_back(listingOf());
                break;
            case 5:
                if (!late.empty())
                    (void)mergeListing(node, late[static_cast<std::size_t>(step) % late.size()], rules);
                break;
            case 6:
                (void)mergeChanges(node, changesSince(nodes[other], node.m_revision), rules);
                break;
            default:
                (void)mergeChanges(node, changesSince(nodes[other], StoreRevision()), rules);
                break;
            }
            const auto now
                = node.m_objects.contains("main") ? node.m_objects.at("main").m_content.get<int>() : 0;
            RC_ASSERT(now >= known);
        }
        write(++newest);
        (void)mergeListing(nodes[0], listingOf(), rules);
        for (auto& node : nodes)
            (void)mergeChanges(node, changesSince(nodes[0], node.m_revision), rules);
        for (const auto& node : nodes)
            RC_ASSERT(node.m_objects.at("main").m_content.get<int>() == newest);
    }

} // namespace
} // namespace marigoldladder::relay
