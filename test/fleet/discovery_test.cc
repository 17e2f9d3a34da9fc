// How the table of upstreams follows the platform's list, directly and through peers.
#include "fleet/discovery_controller.h"
#include "fleet/upstream_exchange.h"

#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    auto makeObject(const std::string& name, ObjectVersion version, const std::string& state = "live")
        -> PlatformObject
    {
        return { name, version,
            { { "role", "upstream" }, { "pool", "triage-models" }, { "data_centre", "olten" },
                { "address", "10.0.0.1:80" }, { "kind", "engine" }, { "state", state } } };
    }

    auto makeList(int count) -> ObjectList
    {
        auto list = ObjectList();
        for (auto i = 0; i < count; ++i)
            list.m_objects.push_back(
                makeObject("triage-" + std::to_string(i), static_cast<ObjectVersion>(i) + 1));
        list.m_version = static_cast<ObjectVersion>(count);
        return list;
    }

    // Exchanges until nothing is left to tell; returns the number of answers.
    auto pullAll(const UpstreamTable& from, UpstreamTable& to) -> int
    {
        auto answers = 0;
        while (to.m_version < from.m_version) {
            mergeUpstreams(to, makeUpstreamsAnswer(from, to.m_version));
            ++answers;
        }
        return answers;
    }

    TEST(DiscoveryTest, ReplacesTheTableByTheListAndRemembersWhatLeft)
    {
        auto table = UpstreamTable();
        applyVmList(table, makeList(3));
        auto shorter = makeList(2);
        shorter.m_version = 9;
        applyVmList(table, shorter);
        EXPECT_EQ(table.m_upstreams.size(), 2U);
        EXPECT_EQ(table.m_removed.at(UpstreamName("triage-2")), 9U);
    }

    TEST(DiscoveryTest, KeepsWhatIsNewerThanALateList)
    {
        auto table = UpstreamTable();
        applyVmEvent(table, { WatchEventType::Added, makeObject("triage-9", 20) });
        applyVmList(table, makeList(3));
        EXPECT_TRUE(table.m_upstreams.contains(UpstreamName("triage-9")));
    }

    TEST(DiscoveryTest, SpreadsTheWholeTableInBoundedAnswers)
    {
        auto source = UpstreamTable();
        applyVmList(source, makeList(200));
        auto target = UpstreamTable();
        EXPECT_EQ(pullAll(source, target), 4) << "expected 200 records in answers of 64";
        EXPECT_EQ(target.m_upstreams.size(), 200U);
    }

    TEST(DiscoveryTest, SpreadsLeavingAndRemovalAndNothingOlder)
    {
        auto source = UpstreamTable();
        applyVmList(source, makeList(3));
        auto target = UpstreamTable();
        (void)pullAll(source, target);
        applyVmEvent(source, { WatchEventType::Modified, makeObject("triage-0", 10, "leaving") });
        applyVmEvent(source, { WatchEventType::Deleted, makeObject("triage-1", 11) });
        (void)pullAll(source, target);
        EXPECT_TRUE(target.m_upstreams.at(UpstreamName("triage-0")).m_leaving);
        EXPECT_FALSE(target.m_upstreams.contains(UpstreamName("triage-1")));
        mergeUpstreams(target, makeUpstreamsAnswer(UpstreamTable(), 0));
        auto stale = UpstreamTable();
        applyVmList(stale, makeList(3));
        mergeUpstreams(target, makeUpstreamsAnswer(stale, 0));
        EXPECT_TRUE(target.m_upstreams.at(UpstreamName("triage-0")).m_leaving);
        EXPECT_FALSE(target.m_upstreams.contains(UpstreamName("triage-1")))
            << "expected an old record not to bring a removed upstream back";
    }

    // Issue 64: a field of another type ended the process, again at each start.
    TEST(DiscoveryTest, AnObjectWithFieldsOfOtherTypesHidesNoOtherOne)
    {
        for (const auto* field : { "role", "pool", "data_centre", "address", "kind", "state" }) {
            auto table = UpstreamTable();
            auto list = makeList(3);
            list.m_objects[1].m_spec[field] = 5;
            applyVmList(table, list);
            EXPECT_TRUE(table.m_upstreams.contains(UpstreamName("triage-0"))) << field;
            EXPECT_TRUE(table.m_upstreams.contains(UpstreamName("triage-2"))) << field;
        }
        auto table = UpstreamTable();
        applyVmEvent(table, { WatchEventType::Modified, { "triage-1", 7, nlohmann::json::array() } });
        EXPECT_TRUE(table.m_upstreams.empty());
    }

} // namespace
} // namespace marigoldladder
