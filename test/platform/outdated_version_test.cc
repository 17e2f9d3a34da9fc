// Requests that wait at an engine while the version of their adapter there becomes outdated.
#include "platform/relay_path_fixture.h"

#include <atomic>
#include <chrono>
#include <thread>

namespace marigoldladder::platform {
namespace {

    using std::chrono::milliseconds;

    // After the announcement of a version, no request may begin on an older one.
    constexpr auto versionBound = milliseconds(5'000);
    constexpr auto allEvents = std::string_view("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");

    auto modelsWith(const std::string& adapter) -> nlohmann::json
    {
        return nlohmann::json::array(
            { { { "name", "m" }, { "version", 1 }, { "adapters", nlohmann::json::array({ adapter }) } } });
    }

    auto wholeStream(const UpstreamRequest& request) -> UpstreamReply
    {
        return { streamHead(request, "new") + chunk(std::string(allEvents)) + "0\r\n\r\n" };
    }

    auto noAnswer(const UpstreamRequest& /*request*/) -> UpstreamReply
    {
        return {};
    }

    // An engine that holds version 3 refuses a request that states any other version, also a lower one.
    auto unlessOtherThan3(const UpstreamRequest& request) -> UpstreamReply
    {
        const auto stated = request["X-Marigoldladder-Expect-Version"];
        return { answerTo(request, stated.empty() || stated == "3" ? 200 : 421, "answer") };
    }

    class OutdatedVersionTest : public RelayPathTest {
    protected:
        // Writes a configuration in which a request may wait for its upstream longer than the bound.
        auto configurePatiently() -> void
        {
            auto configuration = testConfiguration(1);
            for (auto& route : configuration["routes"]) {
                route["timeout_ms"] = 9'000;
                route["target_latency_ms"] = 3'000;
            }
            m_relay.put("config", "main", configuration);
            ASSERT_TRUE(m_relay.eventually([&] { return m_relay.readiness() == 200; }));
        }

        auto addEngine(const std::string& name, const std::string& adapter,
            std::function<UpstreamReply(const UpstreamRequest&)> reply) -> void
        {
            m_relay.addUpstream(name, "pool", std::move(reply), modelsWith(adapter));
        }

        auto announce(int version) -> void
        {
            m_relay.put(
                "versions", "m.a1", { { "model", "m" }, { "adapter", "a1" }, { "version", version } });
        }

        auto send(const std::string& path) -> CallerReply
        {
            auto bytes = callerRequest("POST", path, "X-Marigoldladder-Model: m/a1\r\n", "go");
            const auto deadline = std::string("Deadline-Ms: 3000");
            bytes.replace(bytes.find(deadline), deadline.size(), "Deadline-Ms: 9000");
            return m_relay.send(bytes);
        }

        auto waitForRequestAt(const std::string& engine) -> void
        {
            ASSERT_TRUE(m_relay.eventually([&] { return m_relay.requestsAt(engine).size() == 1; }));
        }
    };

    TEST_F(OutdatedVersionTest, ARequestThatHasNotBegunGoesOnAtAnEngineWithTheNewVersion)
    {
        addEngine("i-1", "a1@1", noAnswer);
        configurePatiently();
        auto reply = std::async(std::launch::async, [&] { return send("/stream/x"); });
        waitForRequestAt("i-1");
        announce(2);
        const auto announcedAt = std::chrono::steady_clock::now();
        addEngine("i-2", "a1@2", wholeStream);
        EXPECT_EQ(reply.get().m_body, allEvents);
        EXPECT_LT(std::chrono::steady_clock::now() - announcedAt, versionBound);
        ASSERT_EQ(m_relay.requestsAt("i-2").size(), 1U);
        EXPECT_EQ(m_relay.requestsAt("i-2")[0]["X-Marigoldladder-Expect-Version"], "2");
    }

    TEST_F(OutdatedVersionTest, ARequestThatMayRunOnceIsTakenBackAndRunsNowhereElse)
    {
        addEngine("i-1", "a1@1", noAnswer);
        configurePatiently();
        auto reply = std::async(std::launch::async, [&] { return send("/once/x"); });
        waitForRequestAt("i-1");
        announce(2);
        const auto announcedAt = std::chrono::steady_clock::now();
        addEngine("i-2", "a1@2", wholeStream);
        EXPECT_EQ(reply.get().m_status, 502) << "it may have begun just before it was taken back";
        EXPECT_LT(std::chrono::steady_clock::now() - announcedAt, versionBound);
        EXPECT_TRUE(m_relay.requestsAt("i-2").empty());
    }

    TEST_F(OutdatedVersionTest, AnAnswerThatHasBegunGoesOn)
    {
        addEngine("i-1", "a1@1", [](const UpstreamRequest& request) {
            return UpstreamReply { streamHead(request, "old") + chunk("id: 1\ndata: a\n\n"), false, false,
                false, { { versionBound, chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n" } } };
        });
        configurePatiently();
        auto reply = std::async(std::launch::async, [&] { return send("/once/x"); });
        waitForRequestAt("i-1");
        announce(2);
        EXPECT_EQ(reply.get().m_body, allEvents);
    }

    // The head of an answer that is no stream shows that the request has run.
    TEST_F(OutdatedVersionTest, AWholeAnswerWhoseBodyArrivesLaterGoesOn)
    {
        addEngine("i-1", "a1@1", [](const UpstreamRequest& request) {
            const auto bytes = answerTo(request, 200, "answer");
            const auto head = bytes.size() - 1;
            return UpstreamReply { bytes.substr(0, head), false, false, false,
                { { versionBound, bytes.substr(head) } } };
        });
        configurePatiently();
        auto reply = std::async(std::launch::async, [&] { return send("/charge/x"); });
        waitForRequestAt("i-1");
        announce(2);
        EXPECT_EQ(reply.get().m_body, "answer");
    }

    TEST_F(OutdatedVersionTest, ARequestRunsOnAHeldVersionBetweenTheLowestAndTheNewest)
    {
        constexpr auto untilNewest = milliseconds(2'000); // Version 2 isn't required yet.
        constexpr auto untilSent = milliseconds(600); // Then it is, and the newest one isn't.
        addEngine("i-1", "a1@3", unlessOtherThan3);
        configurePatiently();
        announce(2);
        std::this_thread::sleep_for(untilNewest);
        announce(4);
        std::this_thread::sleep_for(untilSent);
        EXPECT_EQ(send("/plain/x").m_status, 200);
        ASSERT_EQ(m_relay.requestsAt("i-1").size(), 1U);
        EXPECT_EQ(m_relay.requestsAt("i-1")[0]["X-Marigoldladder-Expect-Version"], "3");
    }

    // What an engine holds may become known before the announcement of its version.
    TEST_F(OutdatedVersionTest, ARequestRunsOnAHeldVersionThatIsNewerThanTheNewestKnown)
    {
        addEngine("i-1", "a1@3", unlessOtherThan3);
        configurePatiently();
        announce(2);
        ASSERT_TRUE(m_relay.eventually([&] {
            (void)send("/plain/x");
            return !m_relay.requestsAt("i-1").back()["X-Marigoldladder-Expect-Version"].empty();
        }));
        EXPECT_EQ(m_relay.requestsAt("i-1").back()["X-Marigoldladder-Expect-Version"], "3");
        EXPECT_EQ(send("/plain/x").m_status, 200);
    }

    // How long ago it was announced isn't known.
    TEST(VersionAtStartTest, AVersionAnnouncedBeforeTheNodeStartedIsRequiredAtOnce)
    {
        auto relay = RelayHarness([](FakeStore& store) {
            store.put("versions", "m.a1", { { "model", "m" }, { "adapter", "a1" }, { "version", 2 } });
            store.put("config", "main", testConfiguration(1));
        });
        relay.addUpstream("i-1", "pool", answerWith("old"), modelsWith("a1@1"));
        const auto request = callerRequest("GET", "/plain/x", "X-Marigoldladder-Model: m/a1\r\n");
        EXPECT_EQ(relay.send(request).m_status, 503);
        EXPECT_TRUE(relay.requestsAt("i-1").empty());
        relay.addUpstream("i-2", "pool", answerWith("new"), modelsWith("a1@2"));
        EXPECT_EQ(relay.send(request).m_body, "new");
    }

} // namespace
} // namespace marigoldladder::platform
