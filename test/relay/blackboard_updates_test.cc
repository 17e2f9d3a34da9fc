#include "relay/blackboard_updates.h"

#include "relay/relay_fixtures.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    TEST(BlackboardUpdatesTest, DoesNotRevertToAnOlderConfiguration)
    {
        auto board = RelayBoard();
        auto newer = RoutingConfiguration();
        newer.m_version = 7;
        auto older = RoutingConfiguration();
        older.m_version = 6;
        EXPECT_TRUE(applyConfiguration(board, newer));
        EXPECT_FALSE(applyConfiguration(board, older));
        EXPECT_EQ(board.m_configuration->m_version, 7U);
    }

    TEST(BlackboardUpdatesTest, ARestartUnderTheSameNameStartsWithoutAdaptersOrRequests)
    {
        auto table = UpstreamTable();
        auto record = engineRecord("engine", { "a1" });
        record.m_startedAt = 100;
        applyUpstreamRecord(table, record, at(0));
        const auto before = table.m_upstreams.at(record.m_name);
        before->m_inFlight = 3;
        auto restarted = engineRecord("engine");
        restarted.m_startedAt = 200;
        applyUpstreamRecord(table, restarted, at(1));
        const auto after = table.m_upstreams.at(record.m_name);
        EXPECT_TRUE(before->m_removed);
        EXPECT_EQ(after->m_inFlight, 0U);
        EXPECT_TRUE(after->m_adapters.empty());
    }

    // Guards against requests to a leaving upstream whose entry expired in an outage of the store and
    // returned.
    TEST(BlackboardUpdatesTest, AnEntryOfTheSameRunThatReturnsKeepsWhatIsKnownOfIt)
    {
        auto table = UpstreamTable();
        const auto record = engineRecord("engine", { "a1" });
        applyUpstreamRecord(table, record, at(0));
        const auto before = table.m_upstreams.at(record.m_name);
        before->m_record.m_leaving = true;
        removeUpstream(table, record.m_name, at(1));
        EXPECT_TRUE(before->m_removed);
        applyUpstreamRecord(table, record, at(2));
        const auto& after = table.m_upstreams.at(record.m_name);
        EXPECT_EQ(after, before);
        EXPECT_FALSE(after->m_removed);
        EXPECT_TRUE(after->m_record.m_leaving);
        EXPECT_EQ(table.m_byShortId.at(shortId("engine")), before);
    }

    TEST(BlackboardUpdatesTest, AnEntryOfAnotherRunThatReturnsStartsAnew)
    {
        auto table = UpstreamTable();
        auto record = engineRecord("engine", { "a1" });
        record.m_startedAt = 100;
        applyUpstreamRecord(table, record, at(0));
        const auto before = table.m_upstreams.at(record.m_name);
        before->m_record.m_leaving = true;
        removeUpstream(table, record.m_name, at(1));
        record.m_startedAt = 200;
        applyUpstreamRecord(table, record, at(2));
        EXPECT_TRUE(before->m_removed);
        EXPECT_FALSE(table.m_upstreams.at(record.m_name)->m_record.m_leaving);
        EXPECT_TRUE(table.m_removedLately.empty());
    }

    TEST(BlackboardUpdatesTest, AnOrderOverridesAnOlderListing)
    {
        auto table = UpstreamTable();
        applyUpstreamRecord(table, engineRecord("engine", { "a1" }), at(0));
        auto& engine = *table.m_upstreams.at(UpstreamName("engine"));
        recordLoadOrder(engine, { "model/a2", 1 }, at(10.25), at(10));
        recordEvictionOrder(engine, "model/a1", false, at(10));
        applyUpstreamRecord(table, engineRecord("engine", { "a1" }), at(10.5));
        EXPECT_TRUE(engine.m_adapters.contains("model/a2"));
        EXPECT_TRUE(engine.m_adapters.at("model/a1").m_evicted);
        applyUpstreamRecord(table, engineRecord("engine", { "a1" }), at(20));
        EXPECT_FALSE(engine.m_adapters.contains("model/a2"));
        EXPECT_FALSE(engine.m_adapters.at("model/a1").m_evicted)
            << "expected the listing to count again, as the engine still lists the adapter 10 s after the "
               "order";
    }

    // Guards against overfilled engines: an order whose answer was lost took effect after all, and the report
    // that said so was overridden by an earlier unload of the same adapter.
    TEST(BlackboardUpdatesTest, AnExactReportOverridesOrdersRecordedShortlyBefore)
    {
        auto table = UpstreamTable();
        applyUpstreamRecord(table, engineRecord("engine", { "a1" }), at(0));
        auto& engine = *table.m_upstreams.at(UpstreamName("engine"));
        recordEvictionOrder(engine, "model/a1", false, at(10));
        auto report = EngineReport();
        report.m_adapters = { { "model/a1", 1 } };
        applyEngineReport(engine, report, at(10.3), ReportedState::Approximate);
        EXPECT_TRUE(engine.m_adapters.at("model/a1").m_evicted);
        applyEngineReport(engine, report, at(10.3), ReportedState::Exact);
        EXPECT_FALSE(engine.m_adapters.at("model/a1").m_evicted);
    }

    // Guards against a second unload of the same adapter each half second: the engine rejected them all until
    // the requests on the adapter had ended, and took no other order meanwhile.
    TEST(BlackboardUpdatesTest, AnAdapterThatDrainsStaysEvictedWhileItIsListed)
    {
        auto table = UpstreamTable();
        applyUpstreamRecord(table, engineRecord("engine", { "a1" }), at(0));
        auto& engine = *table.m_upstreams.at(UpstreamName("engine"));
        recordEvictionOrder(engine, "model/a1", true, at(10));
        auto report = EngineReport();
        report.m_adapters = { { "model/a1", 1 } };
        applyEngineReport(engine, report, at(15), ReportedState::Exact);
        EXPECT_TRUE(engine.m_adapters.at("model/a1").m_evicted);
        applyEngineReport(engine, EngineReport(), at(16), ReportedState::Exact);
        EXPECT_FALSE(engine.m_adapters.contains("model/a1"));
    }

    TEST(BlackboardUpdatesTest, AnAdapterThatLoadsKeepsItsExpectedEnd)
    {
        auto table = UpstreamTable();
        applyUpstreamRecord(table, engineRecord("engine"), at(0));
        auto& engine = *table.m_upstreams.at(UpstreamName("engine"));
        recordLoadOrder(engine, { "model/a1", 1 }, at(10.4), at(10));
        auto report = EngineReport();
        report.m_pending = { { "model/a1", 1 } };
        applyEngineReport(engine, report, at(10.2), ReportedState::Exact);
        EXPECT_EQ(engine.m_adapters.at("model/a1").m_readyAt, at(10.4));
    }

    TEST(BlackboardUpdatesTest, AStoreEntryDoesNotOverrideARecentEngineReport)
    {
        auto table = UpstreamTable();
        applyUpstreamRecord(table, engineRecord("engine"), at(0));
        auto& engine = *table.m_upstreams.at(UpstreamName("engine"));
        auto report = EngineReport();
        report.m_models = { "model" };
        report.m_adapters = { { "model/a1", 1 } };
        applyEngineReport(engine, report, at(10), ReportedState::Approximate);
        applyUpstreamRecord(table, engineRecord("engine"), at(11));
        EXPECT_TRUE(engine.m_adapters.contains("model/a1"));
    }

    TEST(BlackboardUpdatesTest, ARunThatIsLeavingStaysLeaving)
    {
        auto table = UpstreamTable();
        auto record = engineRecord("engine");
        record.m_leaving = true;
        applyUpstreamRecord(table, record, at(0));
        applyUpstreamRecord(table, engineRecord("engine"), at(1));
        EXPECT_TRUE(table.m_upstreams.at(record.m_name)->m_record.m_leaving);
    }

    TEST(BlackboardUpdatesTest, ASlowLoadIsAwaitedAndAMissingAdapterRemovedByTheNextReport)
    {
        auto upstream = Upstream();
        recordLoadOrder(upstream, { "model/a1", 1 }, at(0.25), at(0));
        EXPECT_FALSE(recordAdapterRefusal(upstream, "model/a1", at(0.3)));
        EXPECT_GT(upstream.m_adapters.at("model/a1").m_readyAt, at(0.3));
        EXPECT_GE(upstream.m_adapters.at("model/a1").m_readyAt, at(0.44))
            << "expected half of the time that the load has taken before the next request is sent";
        EXPECT_TRUE(recordAdapterRefusal(upstream, "model/a1", at(5)));
        EXPECT_TRUE(upstream.m_adapters.at("model/a1").m_missing)
            << "expected the adapter to be marked as missing but not removed";
        applyEngineReport(upstream, EngineReport(), at(6), ReportedState::Approximate);
        EXPECT_TRUE(upstream.m_adapters.empty()) << "expected no adapter, as the engine reports none";
    }

    TEST(BlackboardUpdatesTest, ARequestAtTheExpectedEndTestsALoadFromTheWeightStore)
    {
        auto upstream = Upstream();
        recordLoadOrder(upstream, { "model/a1", 1 }, at(0.25), at(0));
        recordLoadOrder(upstream, { "model/cached", 1 }, at(0.25), at(0.22));
        EXPECT_FALSE(isAtExpectedLoadEnd(upstream, "model/a1", at(0.2)));
        EXPECT_TRUE(isAtExpectedLoadEnd(upstream, "model/a1", at(0.26)));
        EXPECT_FALSE(isAtExpectedLoadEnd(upstream, "model/a1", at(0.4))) << "too late to say anything";
        EXPECT_FALSE(isAtExpectedLoadEnd(upstream, "model/cached", at(0.26)));
        EXPECT_FALSE(isAtExpectedLoadEnd(upstream, "model/unknown", at(0.26)));
        EXPECT_FALSE(recordAdapterRefusal(upstream, "model/a1", at(0.26)));
        EXPECT_EQ(adapterRefusals(upstream, "model/a1"), 1);
    }

    TEST(BlackboardUpdatesTest, AMissingAdapterThatTheEngineReportsIsNoLongerMissing)
    {
        auto upstream = Upstream();
        recordLoadOrder(upstream, { "model/a1", 1 }, at(0.25), at(0));
        EXPECT_TRUE(recordAdapterRefusal(upstream, "model/a1", at(5)));
        auto report = EngineReport();
        report.m_adapters = { { "model/a1", 1 } };
        applyEngineReport(upstream, report, at(6), ReportedState::Approximate);
        EXPECT_FALSE(upstream.m_adapters.at("model/a1").m_missing);
    }

    TEST(BlackboardUpdatesTest, AReportReplacesTheListingOfTheStoreEntry)
    {
        auto upstream = Upstream();
        upstream.m_adapters["model/gone"] = AdapterPresence { 1, {}, at(0), 0, true, false, true };
        auto report = EngineReport();
        report.m_models = { "model" };
        report.m_adapters = { { "model/a1", 3 } };
        report.m_pending = { { "model/a2", 1 } };
        applyEngineReport(upstream, report, at(10), ReportedState::Approximate);
        EXPECT_FALSE(upstream.m_adapters.contains("model/gone"));
        EXPECT_EQ(upstream.m_adapters.at("model/a1").m_version, 3U);
        EXPECT_GT(upstream.m_adapters.at("model/a2").m_readyAt, at(10))
            << "expected the pending adapter to become ready later";
    }

} // namespace
} // namespace marigoldladder::relay
