// Answers that promise that a request that may run once has not run: they are given only if that is known.
#include "platform/relay_path_fixture.h"

#include <map>
#include <set>

namespace marigoldladder::platform {
namespace {

    constexpr auto refusalHeader = "X-Marigoldladder-Not-Executed: 1\r\n";
    constexpr auto keepAliveHeader = "Keep-Alive: timeout=30\r\n";

    // A refusal that names no request.
    auto unidentifiedRefusal(int status) -> std::string
    {
        return "HTTP/1.1 " + std::to_string(status) + " Said\r\n" + refusalHeader
            + "Content-Length: 0\r\n\r\n";
    }

    class FalseRefusalTest : public RelayPathTest {
    protected:
        auto addAnsweringUpstream(const std::string& name, int status) -> void
        {
            addUpstream(name, [status](const UpstreamRequest& request) {
                return UpstreamReply { answerTo(request, status, "said so", keepAliveHeader) };
            });
        }

        // An upstream that answers the first request of its connection and has this reply to each later one.
        auto addKeptUpstream(
            const std::string& name, std::function<UpstreamReply(const UpstreamRequest&)> later) -> void
        {
            addUpstream(name,
                [connections = std::set<std::string>(), later = std::move(later)](
                    const UpstreamRequest& request) mutable {
                    const auto isFirst
                        = connections.insert(std::string(request[connectionNumberField])).second;
                    return isFirst ? UpstreamReply { answerTo(request, 200, "first", keepAliveHeader) }
                                   : later(request);
                });
        }

        auto runsOf(const std::string& name) -> std::size_t { return m_relay.requestsAt(name).size(); }
    };

    TEST_F(FalseRefusalTest, AnUpstreamsFailureThatSoundsLikeARefusalIsNoneWhereTheRequestRunsOnce)
    {
        for (const auto status : { 408, 429, 503 }) {
            const auto name = "i-" + std::to_string(status);
            addAnsweringUpstream(name, status);
            configure(static_cast<std::uint64_t>(status));
            for (const auto* path : { "/charge/x", "/once/x" }) {
                const auto runs = runsOf(name);
                const auto reply = m_relay.send(callerRequest("POST", path, "", "5 francs"));
                EXPECT_EQ(runsOf(name), runs + 1) << path;
                EXPECT_EQ(reply.m_status, 502) << path << " at an upstream that answers " << status;
                EXPECT_EQ(reply.m_head.find("stamp-1"), std::string::npos)
                    << "expected no stamp on an answer with another status than the upstream's";
            }
            m_relay.removeUpstream(name);
        }
    }

    TEST_F(FalseRefusalTest, AnIdempotentRequestKeepsSuchAFailureOfItsUpstream)
    {
        addAnsweringUpstream("i-1", 503);
        configure();
        const auto reply = m_relay.send(callerRequest("GET", "/plain/x"));
        EXPECT_EQ(reply.m_status, 503);
        EXPECT_NE(reply.m_head.find("stamp-1"), std::string::npos);
    }

    TEST_F(FalseRefusalTest, ALateRefusalWithoutIdOnAKeptConnectionIsNotTheAnswer)
    {
        for (const auto status : { 421, 429, 503 }) {
            const auto name = "i-" + std::to_string(status);
            addKeptUpstream(name, [status](const UpstreamRequest& request) {
                return UpstreamReply { unidentifiedRefusal(status) + answerTo(request, 200, "second") };
            });
            configure(static_cast<std::uint64_t>(status));
            EXPECT_EQ(m_relay.send(callerRequest("POST", "/charge/x", "", "5 francs")).m_body, "first");
            const auto reply = m_relay.send(callerRequest("POST", "/charge/x", "", "5 francs"));
            EXPECT_EQ(reply.m_status, 200) << "after a late answer " << status;
            EXPECT_EQ(reply.m_body, "second");
            m_relay.removeUpstream(name);
        }
    }

    TEST_F(FalseRefusalTest, ARefusalWithoutIdOnAKeptConnectionPromisesNothing)
    {
        addKeptUpstream("i-1", [](const UpstreamRequest&) {
            return UpstreamReply { unidentifiedRefusal(503), true };
        });
        configure();
        EXPECT_EQ(m_relay.send(callerRequest("POST", "/charge/x", "", "5 francs")).m_body, "first");
        EXPECT_EQ(m_relay.send(callerRequest("POST", "/charge/x", "", "5 francs")).m_status, 502);
        EXPECT_EQ(runsOf("i-1"), 2U);
    }

    TEST_F(FalseRefusalTest, ARequestIsNotSentAgainAfterARefusalWithoutIdOnAKeptConnection)
    {
        constexpr auto requests = 12;
        for (const auto* name : { "i-1", "i-2" }) {
            addKeptUpstream(name, [](const UpstreamRequest&) {
                return UpstreamReply { unidentifiedRefusal(503), true };
            });
        }
        configure();
        for (auto request = 0; request < requests; ++request)
            (void)m_relay.send(callerRequest("POST", "/charge/x", "", "5 francs"));
        auto runs = std::map<std::string, int>();
        for (const auto* name : { "i-1", "i-2" }) {
            for (const auto& request : m_relay.requestsAt(name))
                ++runs[std::string(request["X-Marigoldladder-Request-Id"])];
        }
        for (const auto& [id, count] : runs)
            EXPECT_EQ(count, 1) << id;
    }

    // Nothing else was sent on such a connection, so no other request can be meant.
    TEST_F(FalseRefusalTest, ARefusalWithoutIdOnANewConnectionIsTheAnswer)
    {
        addUpstream("i-1", [](const UpstreamRequest&) {
            return UpstreamReply { unidentifiedRefusal(421), true };
        });
        addUpstream("i-2", answerWith("charged"));
        configure();
        for (auto call = 0; call < 8; ++call)
            EXPECT_EQ(m_relay.send(callerRequest("POST", "/charge/x", "", "5 francs")).m_status, 200);
    }

    // An upstream may send an answer a second time, late, where the next one is expected.
    TEST_F(FalseRefusalTest, ASecondCopyOfARefusalDoesNotEndTheNextAttemptAtTheSameUpstream)
    {
        addUpstream("i-1", [refused = std::string()](const UpstreamRequest& request) mutable {
            const auto refusal = answerTo(request, 503, "", std::string(refusalHeader) + keepAliveHeader);
            const auto connection = std::string(request[connectionNumberField]);
            if (refused.empty()) {
                refused = connection;
                return UpstreamReply { refusal };
            }
            const auto lateCopy = connection == refused ? refusal : std::string();
            return UpstreamReply { lateCopy + answerTo(request, 200, "charged") };
        });
        configure();
        EXPECT_EQ(m_relay.send(callerRequest("POST", "/charge/x", "", "5 francs")).m_body, "charged");
        EXPECT_EQ(runsOf("i-1"), 2U) << "expected one refusal and one run";
    }

    TEST_F(FalseRefusalTest, ARequestThatCannotBeAnsweredInTimeIsNotSent)
    {
        addUpstream("i-1", answerWith("late"));
        configure();
        const auto reply = m_relay.send("POST /charge/x HTTP/1.1\r\nHost: h.example\r\nApi-Key: key-1\r\n"
                                        "X-Marigoldladder-Request-Id: short\r\n"
                                        "X-Marigoldladder-Deadline-Ms: 1\r\nContent-Length: 1\r\n\r\n5");
        EXPECT_EQ(reply.m_status, 503);
        EXPECT_EQ(runsOf("i-1"), 0U);
    }

} // namespace
} // namespace marigoldladder::platform
