// Which nodes callers are told to use.
#include "serving/address_answer.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <set>

namespace marigoldladder {
namespace {

    auto makeMember(int number, const std::string& dataCentre) -> Member
    {
        auto member = Member();
        member.m_vm = VmName("vm-" + std::to_string(number));
        member.m_dataCentre = DataCentreName(dataCentre);
        member.m_incarnation = 7;
        member.m_callerAddress = { "10.0.0.1", number + 1 };
        member.m_heardAt = MonotonicTime(std::chrono::seconds(1));
        return member;
    }

    auto makeMembership(int nodes, int dataCentres) -> Membership
    {
        auto membership = Membership();
        for (auto i = 0; i < nodes; ++i) {
            auto member = makeMember(i, "dc-" + std::to_string(i % dataCentres));
            membership.m_members[member.m_vm] = member;
        }
        return membership;
    }

    auto namesOf(const AddressAnswer& answer) -> std::set<std::string>
    {
        auto names = std::set<std::string>();
        for (const auto& row : answer.m_addresses)
            names.insert(row.m_vm.value());
        return names;
    }

    auto ask(const Membership& membership, const std::string& organisation, std::uint64_t seed = 1)
        -> AddressAnswer
    {
        return chooseAddresses(membership, Configuration(), { OrganisationName(organisation), seed });
    }

    TEST(AddressAnswerTest, NamesOnlyNodesThatAreAliveAndHeardOf)
    {
        auto membership = makeMembership(5, 2);
        membership.m_members[VmName("vm-0")].m_state = MemberState::Draining;
        membership.m_members[VmName("vm-1")].m_state = MemberState::Suspect;
        membership.m_members[VmName("vm-2")].m_state = MemberState::Gone;
        membership.m_members[VmName("vm-3")].m_heardAt = {};
        EXPECT_EQ(namesOf(ask(membership, "aare")), std::set<std::string> { "vm-4" });
    }

    TEST(AddressAnswerTest, LeavesOutWhatOperatorsTookOut)
    {
        auto configuration = Configuration();
        configuration.m_drains[drainKey(DrainScope::DataCentre, "dc-0")]
            = { DrainScope::DataCentre, "dc-0", 1 };
        configuration.m_drains[drainKey(DrainScope::Vm, "vm-1")] = { DrainScope::Vm, "vm-1", 1 };
        const auto answer = chooseAddresses(makeMembership(4, 2), configuration, {});
        EXPECT_EQ(namesOf(answer), std::set<std::string> { "vm-3" });
    }

    TEST(AddressAnswerTest, NamesABoundedNumberOverTwoDataCentresAtLeast)
    {
        auto membership = makeMembership(348, 1);
        for (auto i = 348; i < 352; ++i)
            membership.m_members[VmName("vm-" + std::to_string(i))] = makeMember(i, "dc-small");
        for (const auto* organisation : { "aare", "emme", "kander", "sarine" }) {
            const auto answer = ask(membership, organisation);
            EXPECT_EQ(answer.m_addresses.size(), maxNamedAddresses);
            const auto spares = std::count_if(answer.m_addresses.begin(), answer.m_addresses.end(),
                [](const auto& row) { return row.m_dataCentre.value() == "dc-small"; });
            EXPECT_GE(spares, 2) << "expected spares in a second data centre for " << organisation;
        }
    }

    TEST(AddressAnswerTest, KeepsAnOrganisationOnAFewNodesOfItsOwn)
    {
        const auto membership = makeMembership(350, 19);
        auto ofAare = std::set<std::string>();
        for (auto seed = std::uint64_t { 0 }; seed < 200; ++seed)
            ofAare.merge(namesOf(ask(membership, "aare", seed)));
        EXPECT_LE(ofAare.size(), 12U) << "expected a set that does not grow with the questions";
        EXPECT_NE(namesOf(ask(membership, "aare")), namesOf(ask(membership, "emme")));
    }

    TEST(AddressAnswerTest, SpreadsCallersWithoutAKeyOverTheFleet)
    {
        const auto membership = makeMembership(350, 19);
        auto named = std::set<std::string>();
        for (auto seed = std::uint64_t { 0 }; seed < 400; ++seed)
            named.merge(namesOf(ask(membership, "", seed)));
        EXPECT_GT(named.size(), 300U);
    }

    TEST(AddressAnswerTest, NamesTheLeastLoadedFirstAndTheMostLoadedNot)
    {
        auto membership = makeMembership(9, 3);
        for (auto& [vm, member] : membership.m_members)
            member.m_requestsInFlight = 40;
        membership.m_members[VmName("vm-3")].m_requestsInFlight = 400;
        membership.m_members[VmName("vm-5")].m_requestsInFlight = 0;
        const auto answer = ask(membership, "aare");
        EXPECT_EQ(answer.m_addresses.front().m_vm.value(), "vm-5");
        EXPECT_FALSE(namesOf(answer).contains("vm-3")) << "expected the busiest of nine to be left out";
    }

    TEST(AddressAnswerTest, TellsEachNodesKeyPrefixAndTheTimeToLive)
    {
        const auto text = formatAddressAnswer(ask(makeMembership(1, 1), "aare"), KeyEpoch { 3 });
        EXPECT_NE(text.find("\"key_prefix\":\"vm-0.7.e3.\""), std::string::npos) << text;
        EXPECT_NE(text.find("\"ttl_ms\":2000"), std::string::npos) << text;
    }

} // namespace
} // namespace marigoldladder
