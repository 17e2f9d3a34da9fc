#include "core/request_journal.h"

#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    auto recordOf(const std::string& id) -> RequestRecord
    {
        return { RequestId(id), {}, {}, {}, {}, {} };
    }

    TEST(RequestJournalTest, FindsEveryRecordOfARequestAndNoOther)
    {
        auto journal = RequestJournal();
        for (const auto* id : { "a", "b", "a" })
            addRecord(journal, recordOf(id));
        EXPECT_EQ(findRecords(journal, RequestId("a")).size(), std::size_t { 2 });
        EXPECT_TRUE(findRecords(journal, RequestId("c")).empty());
    }

    TEST(RequestJournalTest, ForgetsTheOldestFirst)
    {
        auto journal = RequestJournal();
        for (auto i = std::size_t { 0 }; i <= rememberedRequests; ++i)
            addRecord(journal, recordOf(std::to_string(i)));
        EXPECT_TRUE(findRecords(journal, RequestId("0")).empty());
        EXPECT_FALSE(findRecords(journal, RequestId("1")).empty());
    }

} // namespace
} // namespace marigoldladder
