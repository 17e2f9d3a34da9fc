// Lists of the platform and of engines in which one element has fields of other types.
#include "routing/engine_orders.h"
#include "routing/ownership_store.h"

#include "harness/one_answer_server.h"

#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    TEST(OddElementTest, HidesNoOtherAdapterOfAnEngine)
    {
        for (const auto* odd : { "5", "null", "{}", R"({"id":5})", R"({"id":null,"root":1})" }) {
            const auto server = OneAnswerServer(answerWithBody(
                R"({"data":[{"id":"a@1","root":"r"},)" + std::string(odd) + R"(,{"id":"c@1","root":5}]})"));
            auto upstream = Upstream();
            upstream.m_address = { "127.0.0.1", server.port() };
            const auto adapters = listAdapters(upstream);
            ASSERT_TRUE(adapters) << odd;
            EXPECT_EQ(adapters.value().size(), 2U) << odd;
        }
    }

    TEST(OddElementTest, HidesNoOtherOwner)
    {
        for (const auto* odd :
            { "5", "null", "{}", R"({"owner":5,"fencing":"x"})", R"({"earlier_owners":[7]})" }) {
            const auto server = OneAnswerServer(
                answerWithBody(R"({"metadata":{"resourceVersion":"9"},"items":[{"metadata":)"
                               R"({"name":"bern","resourceVersion":"3"},"spec":{"upstreams":{"a":)"
                    + std::string(odd) + R"(,"c":{"owner":{"vm":"n","incarnation":4},"fencing":8}}}}]})"));
            auto metrics = Metrics();
            auto platform = PlatformClient({ "127.0.0.1", server.port() }, metrics);
            const auto owners = readOwnerships(platform);
            ASSERT_TRUE(owners) << odd;
            const auto& records = owners.value().at(DataCentreName("bern")).m_records;
            EXPECT_EQ(records.at(UpstreamName("c")).m_fencing, 8U) << odd;
        }
    }

} // namespace
} // namespace marigoldladder
