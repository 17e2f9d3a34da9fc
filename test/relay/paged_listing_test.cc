#include "relay/paged_listing.h"

#include "relay/awaited_result.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    namespace net = boost::asio;
    using Names = std::vector<std::string>;

    // A store of sorted names, and what it makes of the name after which it is to continue.
    struct PagedStore {
        auto fetch(const std::string& after) -> Awaitable<StoreResult<ListingPage>>
        {
            ++m_calls;
            const auto failure = m_failures.find(after);
            if (failure != m_failures.end())
                co_return StoreFailure { failure->second, "told to fail" };
            const auto taken = m_takenFor.contains(after) ? m_takenFor.at(after) : after;
            auto at
                = taken.empty() ? m_names.begin() : std::upper_bound(m_names.begin(), m_names.end(), taken);
            auto page = ListingPage { {}, { m_era, 7 }, false };
            for (; at != m_names.end() && page.m_objects.size() < m_pageSize; ++at)
                page.m_objects.push_back({ *at, { m_era, 1 }, false, 1 });
            page.m_hasMore = m_isEndless || at != m_names.end();
            co_return page;
        }

        Names m_names;
        std::size_t m_pageSize = 2;
        std::map<std::string, StoreFailureType> m_failures;
        std::map<std::string, std::string> m_takenFor;
        bool m_isEndless = false;
        std::uint64_t m_era = 1;
        int m_calls = 0;
    };

    class PagedListingTest : public testing::Test {
    protected:
        auto list() -> StoreResult<ObjectListing>
        {
            auto context = net::io_context();
            return resultOf(
                context, listPages([this](const std::string& after) { return m_store.fetch(after); }));
        }

        static auto namesOf(const ObjectListing& listing) -> Names
        {
            auto names = Names();
            for (const auto& object : listing.m_objects)
                names.push_back(object.m_name);
            return names;
        }

        PagedStore m_store;
    };

    TEST_F(PagedListingTest, ListsAllPages)
    {
        m_store.m_names = { "a", "b", "c", "d", "e" };
        const auto listing = list().value();
        EXPECT_EQ(namesOf(listing), m_store.m_names);
        EXPECT_TRUE(listing.m_complete);
        EXPECT_EQ(m_store.m_calls, 3);
    }

    TEST_F(PagedListingTest, ContinuesAfterAnEarlierNameWhereTheLastOneIsRejected)
    {
        m_store.m_names = { "a", "b", "c", "d", "e" };
        m_store.m_failures["b"] = StoreFailureType::Rejected;
        const auto listing = list().value();
        EXPECT_EQ(namesOf(listing), m_store.m_names);
        EXPECT_TRUE(listing.m_complete);
    }

    TEST_F(PagedListingTest, ContinuesAfterAnEarlierNameWhereTheLastOneLeadsBack)
    {
        m_store.m_names = { "a", "b", "c", "d", "e" };
        m_store.m_takenFor["d"] = "";
        const auto listing = list().value();
        EXPECT_EQ(namesOf(listing), m_store.m_names);
        EXPECT_TRUE(listing.m_complete);
    }

    TEST_F(PagedListingTest, KeepsWhatWasReadWhereNoNameLeadsOn)
    {
        m_store.m_names = { "a", "b", "c" };
        m_store.m_pageSize = 1;
        m_store.m_failures["b"] = StoreFailureType::Rejected;
        const auto listing = list().value();
        EXPECT_EQ(namesOf(listing), (Names { "a", "b" }));
        EXPECT_FALSE(listing.m_complete);
        EXPECT_EQ(listing.m_readUpTo, "b");
        EXPECT_EQ(listing.m_revision, (StoreRevision { 1, 7 }));
    }

    TEST_F(PagedListingTest, EndsWhereNamesLeadRoundInACircle)
    {
        m_store.m_names = { "a", "b", "c" };
        m_store.m_pageSize = 1;
        m_store.m_takenFor["b"] = "";
        EXPECT_FALSE(list().value().m_complete);
        EXPECT_LT(m_store.m_calls, 10);
    }

    TEST_F(PagedListingTest, EndsWhereAPageThatIsNotTheLastOneIsEmpty)
    {
        m_store.m_names = { "a" };
        m_store.m_isEndless = true;
        const auto listing = list().value();
        EXPECT_EQ(namesOf(listing), m_store.m_names);
        EXPECT_FALSE(listing.m_complete);
        EXPECT_LT(m_store.m_calls, 10);
    }

    TEST_F(PagedListingTest, FailsWhereALaterPageMayComeLater)
    {
        m_store.m_names = { "a", "b", "c" };
        for (const auto failure : { StoreFailureType::Refused, StoreFailureType::Unavailable }) {
            m_store.m_failures["b"] = failure;
            const auto listing = list();
            ASSERT_FALSE(listing);
            EXPECT_EQ(listing.error().m_type, failure);
        }
    }

    TEST_F(PagedListingTest, FailsWhereTheFirstPageIsRejected)
    {
        m_store.m_failures[""] = StoreFailureType::Rejected;
        EXPECT_FALSE(list());
    }

    TEST_F(PagedListingTest, PassesTheEmptyName)
    {
        m_store.m_names = { "", "a", "b" };
        m_store.m_pageSize = 1;
        EXPECT_EQ(namesOf(list().value()), m_store.m_names);
    }

    TEST_F(PagedListingTest, PassesOverNoOtherNameBehindHalfOfASurrogatePair)
    {
        m_store.m_names = { "i-1", "i-1\xed\xa0\x80x", "i-1\xee\x80\x80x", "i-10", "i-2" };
        std::sort(m_store.m_names.begin(), m_store.m_names.end());
        m_store.m_pageSize = 1;
        EXPECT_EQ(namesOf(list().value()), m_store.m_names);
    }

    TEST_F(PagedListingTest, AsksForNoOverlongName)
    {
        const auto text = continuationAfter(std::string(50'000, 'x'));
        EXPECT_LT(text.size(), 2'000U);
        EXPECT_GT(text, std::string(50'000, 'x'));
        EXPECT_LT(text, "y");
    }

} // namespace
} // namespace marigoldladder::relay
