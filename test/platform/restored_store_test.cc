// A node whose store returns from an older copy.
#include "platform/relay_path_fixture.h"

#include <chrono>
#include <thread>

namespace marigoldladder::platform {
namespace {

    using std::chrono::milliseconds;

    constexpr auto settleTime = milliseconds(300); // Until the node has noticed the new era.

    class RestoredStoreTest : public RelayPathTest {
    protected:
        auto statusOf(const std::string& path) -> int
        {
            return m_relay.send(callerRequest("GET", path, "Connection: close\r\n")).m_status;
        }

        // A configuration with one more route, /added/.
        static auto withAddedRoute(std::uint64_t version) -> nlohmann::json
        {
            auto configuration = testConfiguration(version);
            auto route = configuration["routes"][0];
            route["name"] = "added";
            route["path_prefix"] = "/added/";
            configuration["routes"].push_back(route);
            return configuration;
        }

        // Changes objects of each kind until their revisions are higher than any written after the restore.
        auto writeMuch(std::uint64_t version) -> void
        {
            for (auto number = 0; number < 30; ++number) {
                m_relay.put("servers", "other", number);
                m_relay.put("evacuations", "elsewhere", number);
            }
            m_relay.put("config", "main", withAddedRoute(version));
            ASSERT_TRUE(m_relay.eventually([&] { return statusOf("/added/x") != 404; }));
        }

        // Puts a configuration with the added route in force at this version, and returns to the copy.
        auto restore(std::uint64_t version = 2) -> void
        {
            writeMuch(version);
            m_relay.restoreStoreCopy();
            std::this_thread::sleep_for(settleTime);
        }
    };

    TEST_F(RestoredStoreTest, AChangeMadeAfterTheRestoreIsInForce)
    {
        addUpstream("i-1", answerWith("ok"));
        configure();
        m_relay.keepStoreCopy();
        restore();
        m_relay.put("config", "main", testConfiguration(3));
        EXPECT_TRUE(m_relay.eventually([&] { return statusOf("/added/x") == 404; }));
    }

    TEST_F(RestoredStoreTest, AConfigurationInForceStaysThoughTheCopyHasAnOlderOne)
    {
        addUpstream("i-1", answerWith("ok"));
        configure();
        m_relay.keepStoreCopy();
        restore();
        EXPECT_EQ(statusOf("/added/x"), 200);
    }

    TEST_F(RestoredStoreTest, AnUpstreamThatLeavesAfterTheRestoreGetsNoMoreRequests)
    {
        addUpstream("i-1", answerWith("ok"));
        addUpstream("i-2", answerWith("ok"));
        configure();
        m_relay.keepStoreCopy();
        restore();
        m_relay.rewriteUpstream("i-1", { { "state", "draining" } });
        const auto before = m_relay.requestsAt("i-1").size();
        for (auto request = 0; request < 20; ++request)
            EXPECT_EQ(statusOf("/plain/x"), 200);
        EXPECT_EQ(m_relay.requestsAt("i-1").size(), before);
    }

    TEST_F(RestoredStoreTest, AnUpstreamThatHadLeftStaysOutThoughTheCopyListsIt)
    {
        addUpstream("i-1", answerWith("ok"));
        addUpstream("i-2", answerWith("ok"));
        configure();
        m_relay.keepStoreCopy();
        m_relay.removeUpstream("i-1");
        restore();
        const auto before = m_relay.requestsAt("i-1").size();
        for (auto request = 0; request < 20; ++request)
            EXPECT_EQ(statusOf("/plain/x"), 200);
        EXPECT_EQ(m_relay.requestsAt("i-1").size(), before);
    }

    TEST_F(RestoredStoreTest, AnUpstreamThatLeavesIsNotReadyAgainByTheCopy)
    {
        addUpstream("i-1", answerWith("ok"));
        addUpstream("i-2", answerWith("ok"));
        configure();
        m_relay.keepStoreCopy();
        m_relay.rewriteUpstream("i-1", { { "state", "draining" } });
        restore();
        const auto before = m_relay.requestsAt("i-1").size();
        for (auto request = 0; request < 20; ++request)
            EXPECT_EQ(statusOf("/plain/x"), 200);
        EXPECT_EQ(m_relay.requestsAt("i-1").size(), before);
    }

    TEST_F(RestoredStoreTest, AnUpstreamThatTheCopyLacksIsUsedUntilItCouldHaveReturned)
    {
        configure();
        m_relay.keepStoreCopy();
        addUpstream("i-1", answerWith("ok"));
        restore();
        EXPECT_EQ(statusOf("/plain/x"), 200);
    }

    TEST_F(RestoredStoreTest, TheNodeDoesNotCallTheStoreMoreOftenThanBefore)
    {
        addUpstream("i-1", answerWith("ok"));
        configure();
        m_relay.keepStoreCopy();
        restore();
        const auto before = m_relay.storeCalls();
        std::this_thread::sleep_for(milliseconds(1'000));
        EXPECT_LT(m_relay.storeCalls() - before, 30) << "calls in a second";
    }

    TEST_F(RestoredStoreTest, ASecondRestoreIsTakenTheSameWay)
    {
        addUpstream("i-1", answerWith("ok"));
        configure();
        m_relay.keepStoreCopy();
        restore();
        restore(3);
        EXPECT_EQ(statusOf("/added/x"), 200);
        m_relay.put("config", "main", testConfiguration(4));
        EXPECT_TRUE(m_relay.eventually([&] { return statusOf("/added/x") == 404; }));
    }

} // namespace
} // namespace marigoldladder::platform
