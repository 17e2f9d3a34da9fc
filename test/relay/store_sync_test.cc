#include "relay/store_sync.h"

#include "relay/relay_fixtures.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <stdexcept>

namespace marigoldladder::relay {
namespace {

    using Clock = std::chrono::steady_clock;

    constexpr auto maxTime = Milliseconds(5'000);

    auto upstreamObject(const std::string& name) -> StoredObject
    {
        auto object = StoredObject();
        object.m_name = name;
        object.m_revision = { firstEra, 1 };
        return object;
    }

    // A node and a store of upstreams.
    struct Node {
        Node()
            : m_sync(m_context.get_executor(), m_settings, m_board, m_store, m_schema, m_exchange)
        {
            m_store.m_list = [this](std::string kind, ListingAge) { return list(std::move(kind)); };
            m_store.m_watch
                = [](const std::string&, StoreRevision, Milliseconds wait) { return watch(wait); };
            m_sync.start();
        }

        auto schema() -> ObjectSchema
        {
            auto schema
                = ObjectSchema { "configurations", "upstreams", "evacuations", "versions", {}, {}, {}, {} };
            schema.m_readUpstream = [this](const std::string& name, const nlohmann::json&) {
                if (name == m_brokenName)
                    throw std::runtime_error("broken");
                return std::optional(engineRecord(name));
            };
            return schema;
        }

        auto list(std::string kind) -> Awaitable<StoreResult<ObjectListing>>
        {
            if (++m_lists <= m_failingLists)
                throw std::runtime_error("broken");
            auto listing = ObjectListing { {}, { firstEra, 2 } };
            if (kind == "upstreams") {
                listing.m_objects = { upstreamObject("i-1"), upstreamObject("i-2"), upstreamObject("i-3") };
                listing.m_complete = !m_isCutShort;
            }
            co_return listing;
        }

        static auto watch(Milliseconds wait) -> Awaitable<StoreResult<ObjectChanges>>
        {
            co_await sleepFor(wait);
            co_return ObjectChanges { {}, { firstEra, 2 } };
        }

        auto runUntilKnown(const std::string& name) -> bool
        {
            const auto until = Clock::now() + maxTime;
            const auto& upstreams = m_board.m_upstreams.m_upstreams;
            while (!upstreams.contains(UpstreamName(name)) && Clock::now() < until)
                m_context.run_one_for(maxTime);
            return upstreams.contains(UpstreamName(name));
        }

        net::io_context m_context { 1 };
        RelaySettings m_settings;
        RelayBoard m_board;
        ObjectStore m_store;
        std::string m_brokenName;
        bool m_isCutShort = false; // The listing of upstreams.
        int m_lists = 0;
        int m_failingLists = 0;
        ObjectSchema m_schema = schema();
        CacheExchange m_exchange { m_context.get_executor(), capacityOf(RelaySettings()), m_board.m_objects };
        StoreSync m_sync;
    };

    class StoreSyncTest : public testing::Test {
    protected:
        StoreSyncTest()
            : m_node(*new Node()) // NOLINT(cppcoreguidelines-owning-memory): see the member.
        {
        }

        Node& m_node; // Never destroyed, as suspended coroutines may refer to its members.
    };

    // Issue 44: the objects after it were in the cache, but never in force, and the watch had ended.
    TEST_F(StoreSyncTest, AnObjectWhoseReaderThrowsHidesNoOtherOne)
    {
        m_node.m_brokenName = "i-2";
        EXPECT_TRUE(m_node.runUntilKnown("i-3"));
        EXPECT_FALSE(m_node.m_board.m_upstreams.m_upstreams.contains(UpstreamName("i-2")));
        EXPECT_EQ(m_node.m_board.m_metrics.value(Counter::ObjectsUnreadable), 1U);
        EXPECT_GE(m_node.m_board.m_metrics.value(Counter::InternalFailures), 1U);
    }

    TEST_F(StoreSyncTest, AListingThatEndsTooSoonKeepsNoNodeFromTheRest)
    {
        m_node.m_isCutShort = true;
        EXPECT_TRUE(m_node.runUntilKnown("i-3"));
        const auto until = Clock::now() + maxTime;
        while (!m_node.m_sync.hasAllKinds() && Clock::now() < until)
            m_node.m_context.run_one_for(maxTime);
        EXPECT_TRUE(m_node.m_sync.hasAllKinds());
    }

    TEST_F(StoreSyncTest, TheStoreIsFollowedOnAfterACallThatThrows)
    {
        m_node.m_failingLists = static_cast<int>(objectKinds.size());
        EXPECT_TRUE(m_node.runUntilKnown("i-3"));
        EXPECT_EQ(m_node.m_board.m_metrics.value(Counter::InternalFailures), objectKinds.size());
    }

} // namespace
} // namespace marigoldladder::relay
