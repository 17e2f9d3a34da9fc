// Claims over a real stand-in of the platform.
#include "serving/keyed_claims.h"

#include "harness/child_process.h"

#include <gtest/gtest.h>
#include <httplib.h>

namespace marigoldladder {
namespace {

    class KeyedClaimsTest : public ::testing::Test {
    protected:
        KeyedClaimsTest()
        {
            m_blackboard.m_membership.write(
                [](Membership& value) { value.m_members[VmName("a")].m_vm = VmName("a"); });
        }

        auto fault(const nlohmann::json& json) -> void
        {
            httplib::Client(m_address.m_host, m_address.m_port)
                .Post("/fault", json.dump(), "application/json");
        }

        auto claimsOf(const ClaimHolder& holder) -> KeyedClaims
        {
            return KeyedClaims(m_blackboard, m_platform, holder, [this] { return m_now; });
        }

        harness::ChildProcess m_process { "fakes/fake-platform", {} };
        Address m_address = *parseAddress(m_process.ready()["address"].get<std::string>());
        Blackboard m_blackboard;
        PlatformClient m_platform { m_address, m_blackboard.m_metrics };
        std::chrono::system_clock::time_point m_now = std::chrono::system_clock::now();
        ClaimHolder m_first { VmName("a"), 1 };
        ClaimHolder m_second { VmName("b"), 1 };
        ScopedKey m_key { "0123" };
    };

    TEST_F(KeyedClaimsTest, GivesAKeyToOneProcess)
    {
        EXPECT_TRUE(claimsOf(m_first).claim(m_key).value().m_createdNow);
        const auto other = claimsOf(m_second).claim(m_key);
        ASSERT_TRUE(other);
        EXPECT_FALSE(other.value().m_createdNow);
        EXPECT_EQ(other.value().m_holder, m_first);
    }

    TEST_F(KeyedClaimsTest, ALostReplyIsResolvedByReadingBack)
    {
        fault({ { "lose_replies", 1 } });
        const auto claimed = claimsOf(m_first).claim(m_key);
        ASSERT_TRUE(claimed);
        EXPECT_TRUE(claimed.value().m_createdNow) << "expected the claim whose reply was lost to count";
    }

    TEST_F(KeyedClaimsTest, AnOldClaimOfTheSameProcessIsNotANewOne)
    {
        EXPECT_TRUE(claimsOf(m_first).claim(m_key).value().m_createdNow);
        EXPECT_FALSE(claimsOf(m_first).claim(m_key).value().m_createdNow);
    }

    TEST_F(KeyedClaimsTest, WithoutThePlatformThereIsNoClaim)
    {
        fault({ { "mode", "down" } });
        const auto claimed = claimsOf(m_first).claim(m_key);
        ASSERT_FALSE(claimed);
        EXPECT_EQ(claimed.error().m_verdict, Verdict::MayHaveRun);
    }

    TEST_F(KeyedClaimsTest, ClaimsAreDeletedAfterTheirLifeAndNotBefore)
    {
        constexpr auto shards = 16;
        auto claims = claimsOf(m_first);
        ASSERT_TRUE(claims.claim(m_key));
        for (auto i = 0; i < shards; ++i)
            claims.removeExpired();
        EXPECT_FALSE(claims.claim(m_key).value().m_createdNow);
        m_now += claimLife + std::chrono::seconds(1);
        for (auto i = 0; i < shards; ++i)
            claims.removeExpired();
        EXPECT_TRUE(claims.claim(m_key).value().m_createdNow);
    }

} // namespace
} // namespace marigoldladder
