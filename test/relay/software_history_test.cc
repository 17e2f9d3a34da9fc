#include "relay/software_history.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    constexpr auto old = SoftwareId { 1 };
    constexpr auto newer = SoftwareId { 2 };
    constexpr auto era = std::uint64_t { 1 };
    const auto pool = PoolName("engines");

    auto serving(std::set<SoftwareId> software) -> SoftwareByPool
    {
        return { { pool, std::move(software) } };
    }

    auto stored(std::set<SoftwareId> software, bool isComplete = true) -> SoftwareHistory
    {
        return { serving(std::move(software)), isComplete, era };
    }

    struct HistoryCase {
        const char* m_name;
        HistoryView m_view;
        std::set<SoftwareId> m_software;
        bool m_isComplete;
    };

    class NextHistoryTest : public testing::TestWithParam<HistoryCase> { };

    TEST_P(NextHistoryTest, HasAllThatMayHaveBegunAStream)
    {
        const auto next = nextHistory(GetParam().m_view);
        EXPECT_EQ(next.m_software, serving(GetParam().m_software));
        EXPECT_EQ(next.m_isComplete, GetParam().m_isComplete);
        EXPECT_EQ(next.m_era, GetParam().m_view.m_era);
    }

    constexpr auto lifetime = Milliseconds(30'000);
    constexpr auto shorter = Milliseconds(29'999);

    INSTANTIATE_TEST_SUITE_P(AllCases, NextHistoryTest,
        testing::Values(HistoryCase { "NoneByANewNode",
                            { {}, serving({ old }), false, shorter, shorter, era }, { old }, false },
            HistoryCase {
                "NoneByANodeThatKnowsAll", { {}, serving({ old }), true, {}, {}, era }, { old }, true },
            HistoryCase { "SoftwareThatBegins",
                { stored({ old }), serving({ old, newer }), true, lifetime, lifetime, era }, { old, newer },
                true },
            HistoryCase { "SoftwareThatLeftBeforeANewNodeCame",
                { stored({ old, newer }), serving({ newer }), false, {}, {}, era }, { old, newer }, true },
            HistoryCase { "SoftwareThatANodeWouldHaveSeen",
                { stored({ old, newer }), serving({ newer }), true, lifetime, lifetime, era }, { newer },
                true },
            HistoryCase { "SoftwareThatAnotherNodeWroteLately",
                { stored({ old, newer }), serving({ old }), true, lifetime, shorter, era }, { old, newer },
                true },
            HistoryCase { "SoftwareFromBeforeAGapInTheWatch",
                { stored({ old, newer }), serving({ old }), true, shorter, lifetime, era }, { old, newer },
                true },
            HistoryCase { "AnIncompleteOneByANewNode",
                { stored({ old }, false), serving({ old }), false, shorter, shorter, era }, { old }, false },
            HistoryCase { "AnIncompleteOneByANodeThatKnowsAll",
                { stored({ old }, false), serving({ old }), true, lifetime, lifetime, era }, { old }, true },
            HistoryCase { "AnEarlierErasByANewNode",
                { stored({ old }), serving({ old }), false, {}, {}, era + 1 }, { old }, false },
            HistoryCase { "AnEarlierErasByANodeThatKnowsAll",
                { stored({ old }), serving({ old }), true, {}, {}, era + 1 }, { old }, true }),
        [](const auto& info) { return std::string(info.param.m_name); });

    TEST(SoftwareHistoryTest, IsReadAsItWasWritten)
    {
        const auto history
            = SoftwareHistory { { { pool, { old, ~SoftwareId { 0 } } }, { PoolName("b"), {} } }, true, 3 };
        EXPECT_EQ(toHistory(nlohmann::json::parse(toJson(history).dump())), history);
    }

    TEST(SoftwareHistoryTest, IsNotReadFromOtherContent)
    {
        for (const auto* text : { "null", "{}", "[]", R"({"pools":[]})", R"({"pools":{"a":1}})",
                 R"({"pools":{"a":["x"]}})", R"({"pools":{"a":[-1]}})" })
            EXPECT_EQ(toHistory(nlohmann::json::parse(text)), std::nullopt) << text;
        EXPECT_FALSE(toHistory(nlohmann::json::parse(R"({"pools":{},"complete":1})"))->m_isComplete);
    }

} // namespace
} // namespace marigoldladder::relay
