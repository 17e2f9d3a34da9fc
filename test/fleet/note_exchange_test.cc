#include "fleet/note_exchange.h"

#include "fleet/configuration_controller.h"
#include "fleet/note_spreader.h"

#include <gtest/gtest.h>
#include <set>

namespace marigoldladder {
namespace {

    auto routeNote(Revision revision) -> ReleaseNote
    {
        const auto name = "route-" + std::to_string(revision);
        return parseReleaseNote(R"({"note_id":")" + name + R"(","changes":[{"put":"route","name":")" + name
            + R"(","pool":"booking-app"}]})")
            .value();
    }

    class NoteExchangeTest : public ::testing::Test {
    protected:
        NoteExchangeTest()
        {
            putConfigurationInForce(m_ahead, Configuration());
            for (auto revision = Revision { 1 }; revision <= 600; ++revision)
                putNoteInForce(m_ahead, routeNote(revision), revision);
        }

        static auto revisionOf(const Blackboard& blackboard) -> Revision
        {
            return blackboard.m_configuration.copy().m_revision;
        }

        Blackboard m_ahead;
        Blackboard m_behind;
    };

    TEST_F(NoteExchangeTest, GivesANodeWithoutAConfigurationASnapshot)
    {
        EXPECT_TRUE(takeNotesAnswer(m_behind, makeNotesAnswer(m_ahead, makeNotesRequest(m_behind))));
        EXPECT_TRUE(m_behind.m_configuration.copy().m_complete);
        EXPECT_EQ(revisionOf(m_behind), 600);
    }

    TEST_F(NoteExchangeTest, GivesANodeThatIsLittleBehindTheNotesItLacks)
    {
        putConfigurationInForce(m_behind, m_ahead.m_configuration.copy());
        putNoteInForce(m_ahead, routeNote(601), 601);
        const auto answer = makeNotesAnswer(m_ahead, makeNotesRequest(m_behind));
        EXPECT_EQ(answer.notes.size(), std::size_t { 1 });
        EXPECT_TRUE(answer.snapshot.empty()) << "expected no snapshot where a note does";
        EXPECT_TRUE(takeNotesAnswer(m_behind, answer));
        EXPECT_EQ(revisionOf(m_behind), 601);
    }

    TEST_F(NoteExchangeTest, GivesANodeFarBehindASnapshot)
    {
        putConfigurationInForce(m_behind, Configuration());
        EXPECT_TRUE(takeNotesAnswer(m_behind, makeNotesAnswer(m_ahead, makeNotesRequest(m_behind))));
        EXPECT_EQ(revisionOf(m_behind), 600);
    }

    TEST_F(NoteExchangeTest, NeverGoesBackToAnOlderRevision)
    {
        putConfigurationInForce(m_behind, Configuration());
        const auto old = makeNotesAnswer(m_behind, makeNotesRequest(Blackboard()));
        EXPECT_FALSE(takeNotesAnswer(m_ahead, old));
        EXPECT_EQ(revisionOf(m_ahead), 600);
    }

    TEST_F(NoteExchangeTest, PassesNothingOnWithoutAConfiguration)
    {
        const auto answer = makeNotesAnswer(m_behind, makeNotesRequest(Blackboard()));
        EXPECT_TRUE(answer.snapshot.empty() && answer.notes.empty());
    }

    TEST_F(NoteExchangeTest, PassesPendingRestrictionsBothWays)
    {
        const auto note
            = parseReleaseNote(R"({"note_id":"w","changes":[{"withdraw":"route","name":"route-1"}]})")
                  .value();
        m_ahead.m_configuration.write(
            [&](Configuration& value) { return addPendingRestriction(value, note); });
        EXPECT_TRUE(takePendingNotes(m_behind, makeNotesRequest(m_ahead).pending));
        EXPECT_TRUE(takeNotesAnswer(m_behind, makeNotesAnswer(m_ahead, makeNotesRequest(m_behind))));
        EXPECT_FALSE(m_behind.m_configuration.copy().m_routes.contains(RouteName("route-1")));
        EXPECT_FALSE(takePendingNotes(m_behind, makeNotesRequest(m_ahead).pending)) << "expected no news";
    }

    TEST_F(NoteExchangeTest, TakesNoGrantAsAPendingRestriction)
    {
        auto told = std::vector<std::unique_ptr<wire::PendingNoteT>>();
        told.push_back(std::make_unique<wire::PendingNoteT>());
        told.front()->json = formatReleaseNote(routeNote(900));
        EXPECT_FALSE(takePendingNotes(m_ahead, told));
    }

    TEST(NoteNeighboursTest, LeaveNoNodeOut)
    {
        auto membership = Membership();
        for (auto i = 0; i < 350; ++i) {
            const auto name = VmName("vm-" + std::to_string(i));
            membership.m_members[name].m_vm = name;
        }
        auto reached = std::set<VmName>();
        for (const auto& [vm, member] : membership.m_members) {
            const auto neighbours = noteNeighbours(membership, vm, member.m_dataCentre);
            reached.insert(neighbours.begin(), neighbours.end());
        }
        EXPECT_EQ(reached.size(), membership.m_members.size());
    }

    TEST(NoteNeighboursTest, AreBoundedAndReachTheOwnDataCentre)
    {
        constexpr auto nodes = 350;
        constexpr auto dataCentres = 19;
        auto membership = Membership();
        for (auto i = 0; i < nodes; ++i) {
            const auto name = VmName("vm-" + std::to_string(i));
            auto& member = membership.m_members[name];
            member.m_vm = name;
            member.m_dataCentre = DataCentreName("dc-" + std::to_string(i % dataCentres));
        }
        const auto self = VmName("vm-0");
        const auto neighbours = noteNeighbours(membership, self, DataCentreName("dc-0"));
        EXPECT_EQ(neighbours.size(), 1 + neighboursNearby + neighboursAnywhere);
        EXPECT_EQ(neighbours, noteNeighbours(membership, self, DataCentreName("dc-0")));
    }

} // namespace
} // namespace marigoldladder
