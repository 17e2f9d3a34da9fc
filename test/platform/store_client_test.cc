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
    using std::string_literals::operator""s;

    constexpr auto kind = "servers";

    auto oddNames() -> std::vector<std::string>
    {
        return { "i-1&x", "i-1+x", "i-1#x", "i-1%x", "i-1%41", "i-1 x", " ", "i-1\"x", "i-1\r\nx: y",
            "i-1\0x"s, "i-1\xc3\xa9", "i-1\\x", "i-1\tx", "i-1/../x", "i-1=x", "i-1?x", "..", "&", "~&" };
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
