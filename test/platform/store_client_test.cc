// Listings in pages whose objects bear names of any characters.
#include "platform/store_client.h"

#include "platform/fake_store.h"
#include "relay/awaited_result.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <optional>
#include <set>

namespace marigoldladder::platform {
namespace {

    using namespace relay;

    constexpr auto kind = "servers";

    auto oddNames() -> std::vector<std::string>
    {
        return { "i-1&x", "i-1+x", "i-1#x", "i-1%x", "i-1%41", "i-1 x", " ", "i-1\"x", "i-1\r\nx: y",
            std::string("i-1\0x", 5), "i-1\xc3\xa9", "i-1\\x", "i-1\tx", "i-1/../x", "i-1=x", "i-1?x", "..",
            "&", "~&" };
    }

    class StoreClientTest : public testing::Test {
    protected:
        auto SetUp() -> void override
        {
            for (const auto* name : { "i-0", "i-1", "i-2", "i-3", "i-4" })
                m_store.put(kind, name, 1);
        }

        auto listed() -> std::optional<ObjectListing>
        {
            auto result = resultOf(m_context, m_calls.m_list(kind, ListingAge::Current));
            return result ? std::optional(std::move(result.value())) : std::nullopt;
        }

        static auto namesOf(const ObjectListing& listing) -> std::set<std::string>
        {
            auto names = std::set<std::string>();
            for (const auto& object : listing.m_objects)
                names.insert(object.m_name);
            return names;
        }

        net::io_context m_context { 1 };
        FakeStore m_store { m_context };
        HttpClient m_client { m_context.get_executor(), m_store.address() };
        ObjectStore m_calls = makeObjectStore(m_client);
    };

    // Issue 64: what a name of the store put into the query made the store refuse the next page, or read
    // another name.
    TEST_F(StoreClientTest, ListsPastANameOfAnyCharacters)
    {
        for (const auto& name : oddNames()) {
            m_store.put(kind, name, 1);
            for (const auto pageSize : { 1, 2, 3 }) {
                m_store.setPageSize(static_cast<std::size_t>(pageSize));
                const auto listing = listed();
                ASSERT_TRUE(listing) << name;
                EXPECT_EQ(
                    namesOf(*listing), (std::set<std::string> { "i-0", "i-1", "i-2", "i-3", "i-4", name }));
            }
            m_store.remove(kind, name);
        }
    }

    // What a store may state as a name, and the name by which it sorts the object.
    TEST_F(StoreClientTest, ListsPastANameThatCannotBeRead)
    {
        const auto names
            = std::vector<std::pair<std::string, std::string>> { { "\"i-1\xff\xfe\"", "i-1\xff\xfe" },
                  { R"("i-1\ud800x")", "i-1\xed\xa0\x80x" }, { "\"\"", "" } };
        for (const auto& [text, name] : names) {
            m_store.putNamed(kind, name, text, "1");
            for (const auto pageSize : { 1, 2, 3 }) {
                m_store.setPageSize(static_cast<std::size_t>(pageSize));
                const auto listing = listed();
                ASSERT_TRUE(listing) << text;
                EXPECT_TRUE(listing->m_complete) << text;
                EXPECT_EQ(
                    namesOf(*listing), (std::set<std::string> { "i-0", "i-1", "i-2", "i-3", "i-4", name }));
            }
            m_store.remove(kind, name);
        }
    }

    TEST_F(StoreClientTest, ListsPastAnObjectWithoutAName)
    {
        m_store.putNamed(kind, "i-1x", "5", "1");
        for (const auto pageSize : { 2, 3 }) {
            m_store.setPageSize(static_cast<std::size_t>(pageSize));
            const auto listing = listed();
            ASSERT_TRUE(listing);
            EXPECT_TRUE(listing->m_complete);
            EXPECT_EQ(listing->m_objects.size(), 6U);
        }
        m_store.setPageSize(1);
        const auto listing = listed();
        ASSERT_TRUE(listing);
        EXPECT_FALSE(listing->m_complete);
        EXPECT_EQ(namesOf(*listing), (std::set<std::string> { "i-0", "i-1", "" }));
    }

    TEST_F(StoreClientTest, ReadsNoContentUnderANameThatCannotBeRead)
    {
        m_store.putNamed(kind, "i-1x", "\"i-1\xff\"", "1");
        const auto listing = listed();
        ASSERT_TRUE(listing);
        for (const auto& object : listing->m_objects)
            EXPECT_EQ(object.m_content.is_null(), object.m_name == "i-1\xff") << object.m_name;
    }

    TEST_F(StoreClientTest, KeepsTheRestWhereTheStoreDoesNotTakeAName)
    {
        m_store.readAfterBy(
            [](const std::string& after) { return after == "i-1" ? std::nullopt : std::optional(after); });
        m_store.setPageSize(2);
        EXPECT_TRUE(listed()->m_complete);
        m_store.setPageSize(1);
        const auto listing = listed();
        ASSERT_TRUE(listing);
        EXPECT_FALSE(listing->m_complete);
        EXPECT_EQ(namesOf(*listing), (std::set<std::string> { "i-0", "i-1" }));
    }

    TEST_F(StoreClientTest, EndsWhereTheStoreTakesANameForAnEarlierOne)
    {
        m_store.readAfterBy([](const std::string& after) { return after == "i-3" ? "i-0" : after; });
        m_store.setPageSize(1);
        const auto listing = listed();
        ASSERT_TRUE(listing);
        EXPECT_FALSE(listing->m_complete);
        EXPECT_EQ(namesOf(*listing), (std::set<std::string> { "i-0", "i-1", "i-2", "i-3" }));
        EXPECT_LT(m_store.listCalls(), 10);
    }

    TEST_F(StoreClientTest, GetsAndReplacesAnObjectOfThatName)
    {
        for (const auto& name : oddNames()) {
            m_store.put(kind, name, 1);
            const auto found = resultOf(m_context, m_calls.m_get(kind, name));
            ASSERT_TRUE(found) << name;
            EXPECT_EQ(found.value().m_name, name);
            EXPECT_TRUE(resultOf(m_context, m_calls.m_replace(kind, found.value()))) << name;
        }
    }

} // namespace
} // namespace marigoldladder::platform
