#include "marigoldladder/release_note.h"

#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    auto noteOf(const std::string& id, const std::string& changes, const std::string& office = "bern")
        -> ReleaseNote
    {
        const auto json = R"({"note_id":")" + id + R"(","author":"anna","office":")" + office
            + R"(","changes":[)" + changes + "]}";
        auto note = parseReleaseNote(json);
        EXPECT_TRUE(note) << "expected a sound note: " << json;
        return note ? note.value() : ReleaseNote();
    }

    constexpr auto putAare = R"({"put":"organisation","name":"aare","tokens_per_second":9,"burst_tokens":9})";
    constexpr auto putKey = R"({"put":"key","id":"k","organisation":"aare","secret":"secret-1"})";
    constexpr auto withdrawKey = R"({"withdraw":"key","id":"k"})";
    constexpr auto putRoute = R"({"put":"route","name":"slots","pool":"booking-app"})";
    constexpr auto takeOut = R"({"put":"drain","scope":"data_centre","name":"olten"})";
    constexpr auto takeIn = R"({"withdraw":"drain","scope":"data_centre","name":"olten"})";

    class ReleaseNoteTest : public ::testing::Test {
    protected:
        auto apply(const ReleaseNote& note) -> void
        {
            applyReleaseNote(m_configuration, note, m_configuration.m_revision + 1);
        }

        auto faultsOf(const std::string& changes) -> std::string
        {
            auto text = std::string();
            for (const auto& fault : checkReleaseNote(m_configuration, noteOf("checked", changes, "olten")))
                text += fault.m_path + " " + fault.m_message + "\n";
            return text;
        }

        auto hasKey() const -> bool { return m_configuration.m_keys.contains(KeyId("k")); }

        Configuration m_configuration;
    };

    TEST_F(ReleaseNoteTest, AppliesANoteOnceByItsId)
    {
        const auto grant = noteOf("grant", std::string(putAare) + "," + putKey);
        apply(grant);
        apply(noteOf("withdraw", withdrawKey));
        apply(grant);
        EXPECT_FALSE(hasKey()) << "expected the key to stay withdrawn after a retry of the note that put it";
        EXPECT_EQ(m_configuration.m_revision, 3);
    }

    TEST_F(ReleaseNoteTest, RefusesAChangeWrittenWithoutKnowledgeOfAWithdrawal)
    {
        apply(noteOf("grant", std::string(putAare) + "," + putKey));
        apply(noteOf("withdraw", withdrawKey));
        const auto faults = faultsOf(putKey);
        EXPECT_NE(faults.find("revision 2 by anna of office bern, note withdraw"), std::string::npos)
            << "expected whose withdrawal stands against it in: " << faults;
    }

    TEST_F(ReleaseNoteTest, TakesAChangeWrittenWithKnowledgeOfAWithdrawal)
    {
        apply(noteOf("grant", std::string(putAare) + "," + putKey));
        apply(noteOf("withdraw", withdrawKey));
        EXPECT_EQ(
            faultsOf(R"({"put":"key","id":"k","organisation":"aare","secret":"s","expected_revision":2})"),
            "");
    }

    TEST_F(ReleaseNoteTest, ShowsWhoseChangeMakesAnExpectedRevisionStale)
    {
        apply(noteOf("first", putRoute));
        apply(noteOf("second", putRoute));
        const auto faults
            = faultsOf(R"({"put":"route","name":"slots","pool":"booking-app","expected_revision":1})");
        EXPECT_EQ(faults,
            "/changes/0/expected_revision is 1, but the item was last changed in revision 2 by anna of "
            "office bern, note second\n");
    }

    TEST_F(ReleaseNoteTest, TakesAWithdrawalWhateverChangedMeanwhile)
    {
        apply(noteOf("first", putRoute));
        apply(noteOf("second", putRoute));
        EXPECT_EQ(faultsOf(R"({"withdraw":"route","name":"slots","expected_revision":1})"), "");
    }

    TEST_F(ReleaseNoteTest, RefusesToTakeInADataCentreTakenOutAgainMeanwhile)
    {
        apply(noteOf("out", takeOut));
        apply(noteOf("out-again", takeOut));
        EXPECT_NE(
            faultsOf(R"({"withdraw":"drain","scope":"data_centre","name":"olten","expected_revision":1})"),
            "");
    }

    TEST_F(ReleaseNoteTest, TakesADataCentreOutAgainAfterItCameBack)
    {
        apply(noteOf("out", takeOut));
        apply(noteOf("in", takeIn));
        EXPECT_EQ(faultsOf(takeOut), "");
    }

    TEST_F(ReleaseNoteTest, TakesChangesOfDifferentItems)
    {
        apply(noteOf("grant", putAare));
        EXPECT_EQ(faultsOf(putRoute), "");
    }

    TEST_F(ReleaseNoteTest, NamesEveryFault)
    {
        const auto faults
            = faultsOf(std::string(putKey) + "," + withdrawKey + "," + R"({"withdraw":"route","name":"none"})"
                + "," + R"({"put":"adapter","name":"a","version":"1","pool":"p","organisations":["reuss"]})");
        EXPECT_NE(faults.find("/changes/0/organisation names the unknown organisation"), std::string::npos)
            << faults;
        EXPECT_NE(faults.find("/changes/1 changes the same item as /changes/0"), std::string::npos) << faults;
        EXPECT_NE(faults.find("/changes/2 withdraws an item that is not there"), std::string::npos) << faults;
        EXPECT_NE(faults.find("/changes/3/organisations names the unknown"), std::string::npos) << faults;
    }

    TEST_F(ReleaseNoteTest, WithdrawsTheKeysOfAWithdrawnOrganisation)
    {
        apply(noteOf("grant", std::string(putAare) + "," + putKey));
        apply(noteOf("leave", R"({"withdraw":"organisation","name":"aare"})"));
        EXPECT_FALSE(hasKey());
    }

    TEST_F(ReleaseNoteTest, KeepsAPendingWithdrawalInForceUnderConcurrentChanges)
    {
        apply(noteOf("grant", std::string(putAare) + "," + putKey));
        EXPECT_TRUE(addPendingRestriction(m_configuration, noteOf("withdraw", withdrawKey)));
        apply(noteOf("change", putKey, "olten"));
        EXPECT_FALSE(hasKey()) << "expected the pending withdrawal to win over a change recorded before it";
        apply(noteOf("withdraw", withdrawKey));
        EXPECT_FALSE(hasKey());
        EXPECT_TRUE(m_configuration.m_pending.empty()) << "expected nothing pending once it is recorded";
    }

    TEST_F(ReleaseNoteTest, DoesNotTakeAnAppliedRestrictionAsPending)
    {
        apply(noteOf("grant", std::string(putAare) + "," + putKey));
        apply(noteOf("withdraw", withdrawKey));
        apply(noteOf(
            "back", R"({"put":"key","id":"k","organisation":"aare","secret":"s","expected_revision":2})"));
        EXPECT_FALSE(addPendingRestriction(m_configuration, noteOf("withdraw", withdrawKey)));
        EXPECT_TRUE(hasKey());
    }

    TEST_F(ReleaseNoteTest, NeverTakesAnOlderConfiguration)
    {
        auto older = m_configuration;
        ASSERT_TRUE(replaceConfiguration(m_configuration, Configuration()));
        apply(noteOf("first", putRoute));
        EXPECT_FALSE(replaceConfiguration(m_configuration, older));
        EXPECT_EQ(m_configuration.m_revision, 1);
    }

    TEST_F(ReleaseNoteTest, KeepsPendingRestrictionsOverANewConfiguration)
    {
        auto newer = Configuration();
        applyReleaseNote(newer, noteOf("grant", std::string(putAare) + "," + putKey), 1);
        addPendingRestriction(m_configuration, noteOf("withdraw", withdrawKey));
        ASSERT_TRUE(replaceConfiguration(m_configuration, newer));
        EXPECT_FALSE(hasKey());
    }

    TEST_F(ReleaseNoteTest, CallsOnlyWithdrawalsAndDrainsRestrictions)
    {
        EXPECT_TRUE(isRestriction(noteOf("a", std::string(withdrawKey) + "," + takeOut)));
        EXPECT_FALSE(isRestriction(noteOf("b", std::string(withdrawKey) + "," + putRoute)));
        EXPECT_FALSE(isRestriction(noteOf("c", takeIn)));
    }

    TEST_F(ReleaseNoteTest, ForgetsTheOldestNotesOnly)
    {
        for (auto i = std::size_t { 0 }; i <= rememberedNotes; ++i)
            apply(noteOf("note-" + std::to_string(i), putRoute));
        EXPECT_EQ(m_configuration.m_appliedNotes.size(), rememberedNotes);
        EXPECT_FALSE(m_configuration.m_appliedNotes.contains(NoteId("note-0")));
        EXPECT_TRUE(m_configuration.m_appliedNotes.contains(NoteId("note-1")));
        EXPECT_EQ(originOf(m_configuration, 2)->m_id, NoteId("note-1"));
        EXPECT_EQ(originOf(m_configuration, 1), nullptr);
    }

} // namespace
} // namespace marigoldladder
