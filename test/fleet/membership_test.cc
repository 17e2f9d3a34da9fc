// What a node believes of its peers.
#include "fleet/discovery_controller.h"
#include "fleet/gossip.h"
#include "fleet/member_merge.h"

#include <gtest/gtest.h>
#include <map>

namespace marigoldladder {
namespace {

    const auto self = VmName("entry-0");
    const auto peer = VmName("entry-1");
    constexpr auto now = MonotonicTime(std::chrono::hours(1));

    auto makeMember(const VmName& vm, MemberState state, std::uint32_t refutation = 0,
        Incarnation incarnation = 5) -> Member
    {
        auto member = Member();
        member.m_vm = vm;
        member.m_incarnation = incarnation;
        member.m_state = state;
        member.m_refutation = refutation;
        member.m_heardAt = now;
        return member;
    }

    class MembershipTest : public ::testing::Test {
    protected:
        MembershipTest()
        {
            m_membership.m_members[self] = makeMember(self, MemberState::Alive);
            tell(makeMember(peer, MemberState::Alive));
        }

        auto tell(const Member& member) -> void { mergeMember(m_membership, self, member, now); }
        auto known(const VmName& vm) -> const Member& { return m_membership.m_members.at(vm); }

        Membership m_membership;
    };

    TEST_F(MembershipTest, HoldsASuspicionAgainstOlderNewsOfLife)
    {
        suspectMember(m_membership, peer, now);
        tell(makeMember(peer, MemberState::Alive));
        EXPECT_EQ(known(peer).m_state, MemberState::Suspect);
    }

    TEST_F(MembershipTest, EndsASuspicionByItsSubjectsRefutation)
    {
        suspectMember(m_membership, peer, now);
        tell(makeMember(peer, MemberState::Alive, 1));
        EXPECT_EQ(known(peer).m_state, MemberState::Alive);
    }

    TEST_F(MembershipTest, RefutesASuspicionAgainstItself)
    {
        tell(makeMember(self, MemberState::Suspect));
        EXPECT_EQ(known(self).m_state, MemberState::Alive);
        EXPECT_EQ(known(self).m_refutation, 1U);
    }

    TEST_F(MembershipTest, IgnoresASuspicionAgainstAnEarlierProcessOfItsName)
    {
        tell(makeMember(self, MemberState::Suspect, 0, 4));
        EXPECT_EQ(known(self).m_refutation, 0U);
    }

    TEST_F(MembershipTest, KeepsGoneUntilANewIncarnationCame)
    {
        markMemberGone(m_membership, peer, now);
        tell(makeMember(peer, MemberState::Alive, 9));
        EXPECT_EQ(known(peer).m_state, MemberState::Gone);
        tell(makeMember(peer, MemberState::Alive, 0, 6));
        EXPECT_EQ(known(peer).m_state, MemberState::Alive);
    }

    TEST_F(MembershipTest, NeverTakesSilenceForGone)
    {
        suspectMember(m_membership, peer, now);
        forgetGoneMembers(m_membership, now + std::chrono::hours(24));
        EXPECT_EQ(known(peer).m_state, MemberState::Suspect);
    }

    TEST_F(MembershipTest, ForgetsGoneMembersAndIsNotRemindedOfThem)
    {
        markMemberGone(m_membership, peer, now);
        forgetGoneMembers(m_membership, now + std::chrono::hours(1));
        EXPECT_FALSE(m_membership.m_members.contains(peer));
        tell(makeMember(peer, MemberState::Gone));
        EXPECT_FALSE(m_membership.m_members.contains(peer));
    }

    TEST_F(MembershipTest, CountsAListedNodeAsNotHeardOf)
    {
        const auto listed = VmName("entry-2");
        auto member = makeMember(listed, MemberState::Alive);
        member.m_heardAt = {};
        mergeListedMember(m_membership, self, member);
        EXPECT_EQ(known(listed).m_heardAt, MonotonicTime());
        member.m_heartbeat = 1;
        tell(member);
        EXPECT_EQ(known(listed).m_heardAt, now);
    }

    TEST_F(MembershipTest, HasTheSameFewReadersInTheEyesOfAllNodes)
    {
        for (auto i = 2; i < 50; ++i)
            tell(makeMember(VmName("entry-" + std::to_string(i)), MemberState::Alive));
        auto readers = std::size_t { 0 };
        for (const auto& [vm, member] : m_membership.m_members)
            readers += isPlatformReader(m_membership, vm) ? 1 : 0;
        EXPECT_EQ(readers, platformReaders);
    }

    TEST_F(MembershipTest, ProbesEachPeerOnceInEachPass)
    {
        for (auto i = 2; i < 9; ++i)
            tell(makeMember(VmName("entry-" + std::to_string(i)), MemberState::Alive));
        auto state = GossipState();
        auto probes = std::map<VmName, int>();
        for (auto i = 0; i < 16; ++i)
            ++probes[nextProbeTarget(state, m_membership, self)];
        EXPECT_EQ(probes.size(), 8U);
        for (const auto& [vm, count] : probes)
            EXPECT_EQ(count, 2) << vm.value();
    }

    TEST(GossipTest, TellsABoundedNumberOfRecordsHoweverManyAreNew)
    {
        auto blackboard = Blackboard();
        blackboard.m_membership.write([](Membership& membership) {
            for (auto i = 0; i < 350; ++i) {
                auto member = makeMember(VmName("entry-" + std::to_string(i)), MemberState::Alive);
                member.m_heardAt = member.m_changedAt = std::chrono::steady_clock::now();
                membership.m_members[member.m_vm] = member;
            }
            membership.m_members[peer].m_state = MemberState::Suspect;
        });
        auto random = std::mt19937_64(1);
        const auto gossip = makeGossip(blackboard, self, peer, random);
        EXPECT_LE(gossip.members.size(), maxGossipMembers);
        EXPECT_EQ(gossip.members.at(1)->vm, peer.value()) << "expected the receiver to learn its suspicion";
    }

} // namespace
} // namespace marigoldladder
