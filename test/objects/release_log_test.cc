// The release log against the stand-in for the platform, with its faults.
#include "objects/release_log.h"

#include "harness/child_process.h"
#include "objects/snapshot.h"

#include <gtest/gtest.h>
#include <httplib.h>

namespace marigoldladder {
namespace {

    class ReleaseLogTest : public ::testing::Test {
    protected:
        ReleaseLogTest()
            : m_process("fakes/fake-platform", {})
            , m_address(parseAddress(m_process.ready().value("address", "")).value_or(Address()))
            , m_platform(m_address, m_metrics)
            , m_log(m_platform)
        {
        }

        auto setFault(const std::string& fault) -> void
        {
            httplib::Client(m_address.m_host, m_address.m_port).Post("/fault", fault, "application/json");
        }

        auto noteOf(const std::string& id, std::size_t adapters = 1) -> ReleaseNote
        {
            auto note = ReleaseNote { NoteId(id), "anna", "bern", "2030-01-01T00:00:00Z", {} };
            for (auto i = std::size_t { 0 }; i < adapters; ++i) {
                auto adapter = Adapter();
                adapter.m_ref = { id + "-adapter-" + std::to_string(i), "1" };
                adapter.m_pool = PoolName("triage-models");
                adapter.m_path = "weights/" + adapter.m_ref.m_name;
                note.m_changes.push_back({ ChangeAction::Put, adapter, std::nullopt });
            }
            return note;
        }

        // Records notes up to a revision and puts them in force in `m_configuration`.
        auto recordUpTo(Revision last) -> void
        {
            while (m_configuration.m_revision < last) {
                const auto revision = m_configuration.m_revision + 1;
                const auto note = noteOf("note-" + std::to_string(revision));
                ASSERT_TRUE(m_log.append(note, revision)) << "expected revision " << revision << " recorded";
                applyReleaseNote(m_configuration, note, revision);
            }
        }

        Metrics m_metrics;
        harness::ChildProcess m_process;
        Address m_address;
        PlatformClient m_platform;
        ReleaseLog m_log;
        Configuration m_configuration;
    };

    TEST_F(ReleaseLogTest, GivesEachRevisionOutOnce)
    {
        ASSERT_TRUE(m_log.append(noteOf("a"), 1));
        const auto second = m_log.append(noteOf("b"), 1);
        ASSERT_FALSE(second);
        EXPECT_EQ(second.error().m_type, FailureType::Conflict);
        EXPECT_EQ(m_log.read(1).value()->m_id, NoteId("a"));
    }

    TEST_F(ReleaseLogTest, ResolvesALostReplyByReadingBack)
    {
        setFault(R"({"lose_replies":1})");
        EXPECT_TRUE(m_log.append(noteOf("a"), 1)) << "expected the note found in its place";
        EXPECT_EQ(m_log.read(1).value()->m_id, NoteId("a"));
    }

    TEST_F(ReleaseLogTest, SaysThatANoteMayBeRecordedWhenThePlatformStopsAnswering)
    {
        setFault(R"({"mode":"hang"})");
        const auto appended = m_log.append(noteOf("a"), 1);
        ASSERT_FALSE(appended);
        EXPECT_EQ(appended.error().m_verdict, Verdict::MayHaveRun);
    }

    TEST_F(ReleaseLogTest, KeepsANoteThatIsLargerThanOneValue)
    {
        constexpr auto adapters = std::size_t { 16'000 };
        ASSERT_TRUE(m_log.append(noteOf("large", adapters), 1));
        const auto read = m_log.read(1);
        ASSERT_TRUE(read && read.value());
        EXPECT_EQ(read.value()->m_changes.size(), adapters);
    }

    TEST_F(ReleaseLogTest, RecordsALargeNoteThoughItsRepliesAreLost)
    {
        setFault(R"({"lose_replies":3})");
        ASSERT_TRUE(m_log.append(noteOf("large", 16'000), 1));
        EXPECT_TRUE(m_log.read(1).value());
    }

    TEST_F(ReleaseLogTest, ReadsBackTheSnapshotItWrote)
    {
        recordUpTo(notesPerSnapshot);
        ASSERT_TRUE(m_log.compact(m_configuration));
        const auto snapshot = m_log.readSnapshot();
        ASSERT_TRUE(snapshot && snapshot.value());
        EXPECT_EQ(formatSnapshot(*snapshot.value()), formatSnapshot(m_configuration));
        EXPECT_TRUE(snapshot.value()->m_appliedNotes.contains(NoteId("note-1")))
            << "expected the snapshot to remember the ids of its notes";
    }

    TEST_F(ReleaseLogTest, RemovesOldEntriesAndKeepsThemInTheHistory)
    {
        for (auto i = Revision { 1 }; i <= 4; ++i) {
            recordUpTo(i * notesPerSnapshot);
            ASSERT_TRUE(m_log.compact(m_configuration));
        }
        EXPECT_FALSE(m_log.read(1).value()) << "expected the first entry to be removed";
        const auto notes = m_platform.list("releasenotes");
        ASSERT_TRUE(notes);
        EXPECT_LE(notes.value().m_objects.size(), 2 * notesPerSnapshot);
        const auto history = m_log.history(0, 1000);
        ASSERT_TRUE(history);
        ASSERT_EQ(history.value().size(), 4 * notesPerSnapshot);
        EXPECT_EQ(history.value().front().m_note.m_id, NoteId("note-1"));
        EXPECT_EQ(history.value().front().m_note.m_author, "anna");
        EXPECT_EQ(m_log.history(300, 2).value().back().m_note.m_id, NoteId("note-302"));
    }

    TEST_F(ReleaseLogTest, GoesOnAfterACompactionThatWasCutOff)
    {
        recordUpTo(notesPerSnapshot);
        setFault(R"({"lose_replies":1})");
        (void)m_log.compact(m_configuration);
        recordUpTo(2 * notesPerSnapshot);
        ASSERT_TRUE(m_log.compact(m_configuration));
        EXPECT_EQ(m_log.readSnapshot().value()->m_revision, 2 * notesPerSnapshot);
    }

    TEST_F(ReleaseLogTest, ShardsASnapshotOfSixteenThousandAdapters)
    {
        applyReleaseNote(m_configuration, noteOf("large", 16'000), 1);
        while (m_configuration.m_revision < notesPerSnapshot)
            applyReleaseNote(m_configuration, noteOf("small-" + std::to_string(m_configuration.m_revision)),
                m_configuration.m_revision + 1);
        ASSERT_TRUE(m_log.compact(m_configuration));
        EXPECT_GE(m_log.readSnapshot().value()->m_adapters.size(), std::size_t { 16'000 });
    }

    TEST_F(ReleaseLogTest, ReadsNoHeadWhoseCountsAreNone)
    {
        ASSERT_TRUE(m_platform.create("releaseheads", "head", { { "snapshot_revision", "12" } }));
        EXPECT_FALSE(m_log.readHead());
        EXPECT_FALSE(m_log.readSnapshot());
    }

} // namespace
} // namespace marigoldladder
