#include "routing/ownership.h"

#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    using namespace std::chrono_literals;

    constexpr auto start = MonotonicTime(std::chrono::hours(1));
    constexpr auto duration = 6000ms;
    constexpr auto lapse = duration + leaseMargin;

    auto startOf(const char* vm, Incarnation incarnation = 1) -> NodeStart
    {
        return { VmName(vm), incarnation };
    }

    // Nodes a, b and c, alive, with leases first seen at `start`.
    class OwnershipTest : public ::testing::Test {
    protected:
        OwnershipTest()
        {
            m_upstream.m_name = UpstreamName("triage-1");
            m_upstream.m_dataCentre = DataCentreName("bern-a");
            m_record.m_owner = startOf("a");
            m_record.m_fencing = 3;
            for (const auto* vm : { "a", "b", "c" }) {
                auto member = Member();
                member.m_vm = VmName(vm);
                member.m_incarnation = 1;
                m_members.m_members[member.m_vm] = member;
            }
            m_leases = observeLeases({}, records(1, 1, 1), start, start);
        }

        static auto records(std::uint64_t a, std::uint64_t b, std::uint64_t c) -> std::vector<LeaseRecord>
        {
            return { { startOf("a"), duration, a }, { startOf("b"), duration, b },
                { startOf("c"), duration, c } };
        }

        // What the node sees when a read at `readAt` shows all leases but a's renewed.
        auto readWithoutA(MonotonicTime readAt) -> void
        {
            ++m_version;
            m_leases = observeLeases(m_leases, records(1, m_version, m_version), readAt, readAt);
        }

        auto viewOf(const char* vm) const -> OwnershipView { return { startOf(vm), m_leases, m_members, 8 }; }

        auto setState(const char* vm, MemberState state) -> void
        {
            m_members.m_members[VmName(vm)].m_state = state;
        }

        auto stepOf(const char* vm) const -> OwnershipStep
        {
            return decideOwnership(viewOf(vm), m_upstream, m_record);
        }

        auto nextAfterA() const -> NodeStart { return desiredOwner(viewOf("b"), m_upstream); }

        Upstream m_upstream;
        OwnershipRecord m_record;
        Membership m_members;
        ObservedLeases m_leases;
        std::uint64_t m_version = 1;
    };

    TEST_F(OwnershipTest, TakesNothingFromAnOwnerWhoseLeaseHolds)
    {
        setState("a", MemberState::Suspect);
        readWithoutA(start + lapse - 1ms);
        EXPECT_NE(stepOf("b"), OwnershipStep::Take);
        EXPECT_NE(stepOf("c"), OwnershipStep::Take);
    }

    TEST_F(OwnershipTest, ExactlyOneNodeTakesOverAfterTheLeaseLapsed)
    {
        setState("a", MemberState::Suspect);
        readWithoutA(start + lapse);
        const auto next = nextAfterA().m_vm.value();
        EXPECT_EQ(stepOf("b") == OwnershipStep::Take, next == "b");
        EXPECT_EQ(stepOf("c") == OwnershipStep::Take, next == "c");
    }

    TEST_F(OwnershipTest, AnOutageProvesNoLapse)
    {
        EXPECT_FALSE(hasLapsed(m_leases, VmName("a"))) << "expected time without reads to prove nothing";
    }

    TEST_F(OwnershipTest, EvictsNothingWhileTheEarlierOwnerMayStillRun)
    {
        setState("a", MemberState::Suspect);
        readWithoutA(start + lapse);
        auto view = viewOf("b");
        const auto record = takenRecord(view, m_record);
        EXPECT_EQ(record.m_fencing, 4U);
        const auto rights = OwnerRights { start + 1h, {}, { { m_upstream.m_name, 4 } } };
        const auto before = assignmentOf(view, m_upstream, record, rights, false, start);
        EXPECT_TRUE(before.m_servedHere) << "expected it to use what is loaded";
        EXPECT_FALSE(mayOrderEviction(before, start));
        view.m_membership.m_members[VmName("a")].m_state = MemberState::Gone;
        EXPECT_TRUE(mayOrderEviction(assignmentOf(view, m_upstream, record, rights, false, start), start));
    }

    TEST_F(OwnershipTest, ServesNothingWhileTheEarlierOwnersLeaseWasRenewed)
    {
        setState("a", MemberState::Suspect);
        readWithoutA(start + lapse);
        const auto record = takenRecord(viewOf("b"), m_record);
        m_leases = observeLeases(m_leases, records(99, 99, 99), start + lapse + 1s, start + lapse + 1s);
        EXPECT_FALSE(isClear(viewOf("b"), record))
            << "expected a late takeover to wait for the renewed lease";
        const auto assignment = assignmentOf(viewOf("b"), m_upstream, record, {}, false, start);
        EXPECT_FALSE(assignment.m_servedHere);
    }

    TEST_F(OwnershipTest, AnOwnerThatLostItAcknowledges)
    {
        m_record.m_owner = startOf("b");
        m_record.m_earlierOwners = { startOf("a") };
        EXPECT_EQ(stepOf("a"), OwnershipStep::Acknowledge);
        EXPECT_TRUE(acknowledgedRecord(m_record, startOf("a")).m_earlierOwners.empty());
    }

    TEST_F(OwnershipTest, OrdersNothingAfterItsOwnLease)
    {
        const auto rights = OwnerRights { start + 5s, {}, { { m_upstream.m_name, 3 } } };
        const auto assignment = assignmentOf(viewOf("a"), m_upstream, m_record, rights, false, start);
        EXPECT_TRUE(mayOrderEviction(assignment, start + 5s - 1ms));
        EXPECT_FALSE(mayOrderEviction(assignment, start + 5s));
    }

    TEST_F(OwnershipTest, ALaterProcessOfTheSameVmTakesOverAtOnce)
    {
        m_members.m_members[VmName("a")].m_incarnation = 2;
        auto changed = records(2, 2, 2);
        changed[0].m_holder.m_incarnation = 2;
        m_leases = observeLeases(m_leases, changed, start, start);
        EXPECT_FALSE(mayStillRun(m_leases, m_members, startOf("a", 1)));
        auto view = viewOf("a");
        view.m_self.m_incarnation = 2;
        view.m_membership.m_members.erase(VmName("b"));
        view.m_membership.m_members.erase(VmName("c"));
        EXPECT_EQ(decideOwnership(view, m_upstream, m_record), OwnershipStep::Take);
        EXPECT_TRUE(takenRecord(view, m_record).m_earlierOwners.empty());
    }

    TEST_F(OwnershipTest, ALaterProcessMayRunThoughItsPredecessorSaidGoodbye)
    {
        setState("a", MemberState::Gone);
        EXPECT_FALSE(mayStillRun(m_leases, m_members, startOf("a", 1)));
        auto changed = records(2, 2, 2);
        changed[0].m_holder.m_incarnation = 2;
        m_leases = observeLeases(m_leases, changed, start, start);
        EXPECT_TRUE(mayStillRun(m_leases, m_members, startOf("a", 2)))
            << "expected the news of the earlier process to say nothing about this one";
        EXPECT_FALSE(mayStillRun(m_leases, m_members, startOf("a", 1)));
    }

    TEST_F(OwnershipTest, HandsOverWhenItDrains)
    {
        setState("a", MemberState::Draining);
        EXPECT_EQ(stepOf("a"), OwnershipStep::HandOver);
        const auto record = handedRecord(m_record, nextAfterA());
        EXPECT_EQ(record.m_fencing, 4U);
        EXPECT_TRUE(record.m_earlierOwners.empty());
    }

    TEST_F(OwnershipTest, OneNodeStandsInForALostOwnerInAnOutageAndEvictsNothing)
    {
        setState("a", MemberState::Suspect);
        const auto later = start + lapse;
        const auto atB = assignmentOf(viewOf("b"), m_upstream, m_record, {}, true, later);
        const auto atC = assignmentOf(viewOf("c"), m_upstream, m_record, {}, true, later);
        EXPECT_EQ(atB.m_owner, atC.m_owner) << "expected both to name the same stand-in";
        EXPECT_NE(atB.m_servedHere, atC.m_servedHere);
        EXPECT_FALSE(mayOrderEviction(atB, later) || mayOrderEviction(atC, later));
        const auto early = assignmentOf(viewOf("b"), m_upstream, m_record, {}, true, later - 1ms);
        EXPECT_EQ(early.m_owner, VmName("a")) << "expected nobody to stand in while the lease may hold";
    }

    TEST_F(OwnershipTest, OnlyNodesThatMayLoadOwnEngines)
    {
        auto view = viewOf("a");
        view.m_maxEngineOwners = 1;
        EXPECT_EQ(desiredOwner(view, m_upstream).m_vm, VmName("a"));
        m_upstream.m_kind = UpstreamKind::Service;
        view.m_membership.m_members[VmName("a")].m_state = MemberState::Draining;
        EXPECT_NE(desiredOwner(view, m_upstream).m_vm, VmName("a"));
    }

    TEST_F(OwnershipTest, RenewalsKeepWithinTheirPartOfThePlatformsWrites)
    {
        EXPECT_EQ(leaseRenewalPeriod(9), 2000ms);
        EXPECT_GE(leaseRenewalPeriod(350), 8750ms) << "expected at most 40 renewals a second";
    }

} // namespace
} // namespace marigoldladder
