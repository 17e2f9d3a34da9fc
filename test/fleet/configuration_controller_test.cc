#include "fleet/configuration_controller.h"

#include "harness/child_process.h"

#include <atomic>
#include <gtest/gtest.h>
#include <httplib.h>
#include <thread>

namespace marigoldladder {
namespace {

    auto routeNote(const std::string& id, const std::string& route) -> ReleaseNote
    {
        const auto json = R"({"note_id":")" + id + R"(","changes":[{"put":"route","name":")" + route
            + R"(","pool":"booking-app"}]})";
        return parseReleaseNote(json).value();
    }

    auto withdrawal(const std::string& id, const std::string& route) -> ReleaseNote
    {
        const auto json
            = R"({"note_id":")" + id + R"(","changes":[{"withdraw":"route","name":")" + route + R"("}]})";
        return parseReleaseNote(json).value();
    }

    // One node's part, without the node.
    struct Writer {
        explicit Writer(const Address& platform)
            : m_platform(platform, m_blackboard.m_metrics)
            , m_log(m_platform)
        {
        }

        auto record(const ReleaseNote& note) -> RecordOutcome
        {
            return recordReleaseNote(m_blackboard, m_log, note);
        }

        auto follow() -> Result<void> { return followReleaseLog(m_blackboard, m_log, FollowScope::Snapshot); }

        Blackboard m_blackboard;
        PlatformClient m_platform;
        ReleaseLog m_log;
    };

    class ConfigurationControllerTest : public ::testing::Test {
    protected:
        ConfigurationControllerTest()
            : m_process("fakes/fake-platform", {})
            , m_address(parseAddress(m_process.ready().value("address", "")).value_or(Address()))
            , m_bern(m_address)
            , m_olten(m_address)
        {
        }

        auto setFault(const std::string& fault) -> void
        {
            httplib::Client(m_address.m_host, m_address.m_port).Post("/fault", fault, "application/json");
        }

        harness::ChildProcess m_process;
        Address m_address;
        Writer m_bern;
        Writer m_olten;
    };

    TEST_F(ConfigurationControllerTest, MergesNotesOfTwoOfficesThatRace)
    {
        constexpr auto notesEach = 40;
        const auto write = [](Writer& writer, const std::string& office) {
            for (auto i = 0; i < notesEach; ++i) {
                const auto name = office + std::to_string(i);
                EXPECT_TRUE(writer.record(routeNote(name, name)).m_revision) << "expected " << name;
            }
        };
        auto other = std::thread([&] { write(m_olten, "olten"); });
        write(m_bern, "bern");
        other.join();
        ASSERT_TRUE(m_bern.follow());
        const auto configuration = m_bern.m_blackboard.m_configuration.copy();
        EXPECT_EQ(configuration.m_revision, 2 * notesEach);
        EXPECT_EQ(configuration.m_routes.size(), std::size_t { 2 } * notesEach);
    }

    TEST_F(ConfigurationControllerTest, KeepsAWithdrawalWhenTheEarlierNoteIsTriedAgain)
    {
        setFault(R"({"lose_replies":1})");
        (void)m_bern.record(routeNote("put", "slots"));
        ASSERT_TRUE(m_olten.record(withdrawal("withdraw", "slots")).m_revision);
        const auto again = m_bern.record(routeNote("put", "slots"));
        EXPECT_TRUE(again.m_recordedBefore);
        EXPECT_EQ(again.m_revision, Revision { 1 });
        EXPECT_TRUE(m_bern.m_blackboard.m_configuration.copy().m_routes.empty());
    }

    TEST_F(ConfigurationControllerTest, RemembersNotesThatOnlyASnapshotHolds)
    {
        for (auto i = Revision { 0 }; i < 3 * notesPerSnapshot; ++i) {
            ASSERT_TRUE(m_bern.record(routeNote("note-" + std::to_string(i), "slots")).m_revision);
            ASSERT_TRUE(m_bern.m_log.compact(m_bern.m_blackboard.m_configuration.copy()));
        }
        const auto again = m_olten.record(routeNote("note-0", "slots"));
        EXPECT_EQ(again.m_revision, Revision { 1 });
        EXPECT_TRUE(again.m_recordedBefore);
    }

    TEST_F(ConfigurationControllerTest, RecordsOnTopOfASnapshotAfterALongPause)
    {
        ASSERT_TRUE(m_olten.follow()); // Olten's node stops here, at revision 0, until everything is done.
        for (auto i = Revision { 0 }; i < 3 * notesPerSnapshot; ++i) {
            ASSERT_TRUE(m_bern.record(routeNote("note-" + std::to_string(i), "slots")).m_revision);
            ASSERT_TRUE(m_bern.m_log.compact(m_bern.m_blackboard.m_configuration.copy()));
        }
        EXPECT_EQ(m_olten.record(routeNote("late", "late")).m_revision, 3 * notesPerSnapshot + 1);
    }

    TEST_F(ConfigurationControllerTest, EntersAPendingRestrictionOnceThoughSeveralNodesTry)
    {
        ASSERT_TRUE(m_bern.record(routeNote("put", "slots")).m_revision);
        ASSERT_TRUE(m_olten.follow());
        const auto note = withdrawal("withdraw", "slots");
        for (auto* writer : { &m_bern, &m_olten })
            writer->m_blackboard.m_configuration.write(
                [&](Configuration& value) { return addPendingRestriction(value, note); });
        auto other
            = std::thread([&] { EXPECT_TRUE(recordPendingNotes(m_olten.m_blackboard, m_olten.m_log)); });
        EXPECT_TRUE(recordPendingNotes(m_bern.m_blackboard, m_bern.m_log));
        other.join();
        ASSERT_TRUE(m_bern.follow());
        const auto configuration = m_bern.m_blackboard.m_configuration.copy();
        EXPECT_EQ(configuration.m_revision, 2);
        EXPECT_TRUE(configuration.m_pending.empty());
    }

    TEST_F(ConfigurationControllerTest, IsNotConfiguredBeforeThePlatformAnswers)
    {
        setFault(R"({"mode":"down"})");
        EXPECT_FALSE(m_bern.follow());
        EXPECT_FALSE(m_bern.m_blackboard.m_configuration.copy().m_complete);
    }

    // A platform that fails for good with the first write, after the write may have taken effect.
    class FailingPlatform {
    public:
        FailingPlatform()
        {
            m_server.Get(".*", [this](const auto&, auto& response) { response.status = m_down ? 503 : 404; });
            m_server.Post(".*", [this](const auto&, auto& response) {
                m_down = true;
                response.status = 504;
            });
            m_address = { "127.0.0.1", m_server.bind_to_any_port("127.0.0.1") };
            m_thread = std::thread([this] { m_server.listen_after_bind(); });
            while (!m_server.is_running())
                std::this_thread::yield();
        }
        FailingPlatform(const FailingPlatform&) = delete;
        auto operator=(const FailingPlatform&) -> FailingPlatform& = delete;
        ~FailingPlatform()
        {
            m_server.stop();
            m_thread.join();
        }

        auto address() const -> const Address& { return m_address; }

    private:
        httplib::Server m_server;
        std::atomic<bool> m_down { false };
        Address m_address;
        std::thread m_thread;
    };

    TEST(RecordReleaseNoteTest, LeavesTheOutcomeOpenWhenThePlatformFailsWhileRecording)
    {
        const auto platform = FailingPlatform();
        auto writer = Writer(platform.address());
        const auto outcome = writer.record(routeNote("put", "slots"));
        ASSERT_TRUE(outcome.m_failure);
        EXPECT_EQ(outcome.m_failure->m_verdict, Verdict::MayHaveRun);
        const auto again = writer.record(routeNote("other", "slots"));
        ASSERT_TRUE(again.m_failure);
        EXPECT_EQ(again.m_failure->m_verdict, Verdict::NotRun) << "expected proof, as nothing was written";
    }

    TEST(LogWatcherTest, ArePickedTwoInEachDataCentreAmongTheLiving)
    {
        auto membership = Membership();
        for (const auto* name : { "a", "b", "c", "d" }) {
            auto& member = membership.m_members[VmName(name)];
            member.m_vm = VmName(name);
            member.m_dataCentre = DataCentreName("olten");
        }
        membership.m_members[VmName("a")].m_state = MemberState::Suspect;
        const auto watches = [&](const char* name) {
            return isLogWatcher(membership, VmName(name), DataCentreName("olten"));
        };
        EXPECT_TRUE(watches("b") && watches("c"));
        EXPECT_FALSE(watches("d"));
        EXPECT_TRUE(isLogWatcher(membership, VmName("z"), DataCentreName("solothurn")));
    }

    TEST(PollIntervalTest, GrowsWithFailuresUpToABound)
    {
        EXPECT_LT(pollInterval(true, 0, 1.0), pollInterval(true, 1, 0.5));
        EXPECT_LE(pollInterval(true, 1000, 1.0), std::chrono::seconds(5));
        EXPECT_NE(pollInterval(true, 3, 0.0), pollInterval(true, 3, 1.0)) << "expected jitter";
    }

} // namespace
} // namespace marigoldladder
