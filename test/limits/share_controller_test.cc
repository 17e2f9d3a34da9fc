// Share controllers of two nodes over a real stand-in of the platform.
#include "limits/share_controller.h"

#include "harness/child_process.h"
#include "harness/deployment.h"

#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    constexpr auto burst = 1000.0;
    constexpr auto half = burst / 2;
    constexpr auto patience = std::chrono::milliseconds(3000); // Several rounds.

    // One node's allowance without any way to its peers.
    struct ShareNode {
        ShareNode(const Address& platform, std::string name, Incarnation incarnation)
            : m_client(platform, m_blackboard.m_metrics)
            , m_allowance(m_blackboard, VmName(name),
                  { [](const auto&, const auto&) { return std::nullopt; }, [](const auto&, const auto&) {} },
                  [this] { return m_now; })
            , m_controller(m_blackboard, m_client, m_allowance, VmName(name), incarnation)
        {
            m_blackboard.m_configuration.write([&](Configuration& configuration) {
                configuration.m_organisations[m_organisation] = { m_organisation, burst, burst, 1, 1 };
            });
            m_blackboard.m_membership.write([](Membership& membership) {
                for (const auto* vm : { "a", "b" })
                    membership.m_members[VmName(vm)].m_vm = VmName(vm);
            });
        }

        // Whether the node could spend so much after a long time; spends nothing.
        auto holds(double tokens) -> bool
        {
            m_now += std::chrono::seconds(100);
            const auto reservation = m_allowance.admit(m_organisation, tokens);
            if (reservation)
                m_allowance.settle(reservation.value(), 0);
            return reservation.has_value();
        }

        OrganisationName m_organisation { "aare" };
        Blackboard m_blackboard;
        PlatformClient m_client;
        MonotonicTime m_now { std::chrono::hours(1) };
        Allowance m_allowance;
        ShareController m_controller;
    };

    class ShareControllerTest : public ::testing::Test {
    protected:
        auto fault(const nlohmann::json& json) -> void
        {
            httplib::Client(m_address.m_host, m_address.m_port)
                .Post("/fault", json.dump(), "application/json");
        }

        static auto stepUntil(ShareNode& node, const std::function<bool()>& condition) -> bool
        {
            return harness::waitUntil(patience, [&] {
                node.m_controller.step();
                return condition();
            });
        }

        auto slotsOf(const VmName& vm) -> std::size_t
        {
            const auto object = m_first.m_client.get("allowanceshares", "fleet");
            if (!object || !object.value())
                return 0;
            const auto table = readSlotTable(object.value()->m_spec);
            return table
                ? static_cast<std::size_t>(std::count(table->m_slots.begin(), table->m_slots.end(), vm))
                : 0;
        }

        harness::ChildProcess m_process { "fakes/fake-platform", {} };
        Address m_address = *parseAddress(m_process.ready()["address"].get<std::string>());
        ShareNode m_first { m_address, "a", 1 };
        ShareNode m_second { m_address, "b", 1 };
    };

    TEST_F(ShareControllerTest, TheFirstNodeHoldsAllUntilASecondTakesPart)
    {
        m_first.m_controller.step();
        EXPECT_TRUE(m_first.holds(burst));
        m_second.m_controller.step();
        EXPECT_FALSE(m_second.holds(1)) << "expected nothing before the first gives it away";
        EXPECT_TRUE(stepUntil(m_first, [&] { return !m_first.holds(half + 1); }));
        EXPECT_TRUE(stepUntil(m_second, [&] { return m_second.holds(half); }));
    }

    TEST_F(ShareControllerTest, ALostReplyWhenGivingAwayLeavesOneHolder)
    {
        m_first.m_controller.step();
        m_second.m_controller.step();
        fault({ { "lose_replies", 1 } });
        EXPECT_TRUE(stepUntil(m_first, [&] { return slotsOf(VmName("b")) > 0; }));
        EXPECT_FALSE(m_first.holds(half + 1)) << "expected the part lowered though the reply was lost";
        EXPECT_TRUE(stepUntil(m_second, [&] { return m_second.holds(half); }));
        EXPECT_FALSE(stepUntil(m_first, [&] { return m_first.holds(half + 1); }));
        EXPECT_TRUE(m_first.holds(half));
    }

    TEST_F(ShareControllerTest, AnOutageLeavesThePartsAsTheyAre)
    {
        m_first.m_controller.step();
        m_second.m_controller.step();
        fault({ { "mode", "down" } });
        EXPECT_FALSE(stepUntil(m_second, [&] { return m_second.holds(1); }));
        m_first.m_controller.step();
        EXPECT_TRUE(m_first.holds(burst));
    }

    TEST_F(ShareControllerTest, ANewProcessOfTheSameVmTakesThePartOverEmpty)
    {
        m_first.m_controller.step();
        auto restarted = ShareNode(m_address, "a", 2);
        restarted.m_controller.step();
        EXPECT_FALSE(restarted.m_allowance.admit(restarted.m_organisation, 1)) << "expected an empty bucket";
        EXPECT_TRUE(restarted.holds(burst));
    }

    TEST_F(ShareControllerTest, ALeavingNodeKeepsNothing)
    {
        m_first.m_controller.step();
        m_second.m_controller.step();
        EXPECT_TRUE(m_first.m_controller.release());
        EXPECT_FALSE(m_first.holds(1));
        EXPECT_EQ(slotsOf(VmName("b")), slotCount);
    }

} // namespace
} // namespace marigoldladder
