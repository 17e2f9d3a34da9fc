// The node's log lines: a blocked reader doesn't stop the node, and no line contains a secret.
#include "core/log.h"
#include "platform/relay_path_fixture.h"

#include <array>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <thread>
#include <unistd.h>

namespace marigoldladder::platform {
namespace {

    // Redirects standard output to a pipe during the object's lifetime.
    class OutputPipe {
    public:
        OutputPipe()
            : m_before(dup(STDOUT_FILENO))
        {
            EXPECT_EQ(pipe(m_ends.data()), 0);
            dup2(m_ends[1], STDOUT_FILENO);
        }
        ~OutputPipe()
        {
            dup2(m_before, STDOUT_FILENO);
            close(m_before);
            close(m_ends[0]);
            close(m_ends[1]);
        }
        OutputPipe(const OutputPipe&) = delete;
        auto operator=(const OutputPipe&) -> OutputPipe& = delete;

        // Writes until the pipe is full.
        auto fill() const -> void
        {
            const auto flags = fcntl(m_ends[1], F_GETFL);
            fcntl(m_ends[1], F_SETFL, flags | O_NONBLOCK);
            while (write(m_ends[1], "x", 1) == 1) { }
            fcntl(m_ends[1], F_SETFL, flags);
        }

        // Returns all unread output.
        auto read() const -> std::string
        {
            auto text = std::string();
            auto buffer = std::array<char, 4'096>();
            fcntl(m_ends[0], F_SETFL, fcntl(m_ends[0], F_GETFL) | O_NONBLOCK);
            for (;;) {
                const auto size = ::read(m_ends[0], buffer.data(), buffer.size());
                if (size <= 0)
                    return text;
                text.append(buffer.data(), static_cast<std::size_t>(size));
            }
        }

    private:
        int m_before;
        std::array<int, 2> m_ends {};
    };

    class RelayLogTest : public testing::Test {
    protected:
        RelayLogTest()
        {
            initialiseLog("info", "vm", LogTarget::StandardOutput);
            m_relay = std::make_unique<RelayHarness>();
            m_relay->put("config", "main", testConfiguration(1));
            EXPECT_TRUE(m_relay->eventually([&] { return m_relay->readiness() == 200; }));
        }
        ~RelayLogTest() override
        {
            m_relay.reset();
            initialiseLog("off", "vm", LogTarget::StandardOutput);
        }

        OutputPipe m_output;
        std::unique_ptr<RelayHarness> m_relay;
    };

    TEST_F(RelayLogTest, ABlockedReaderDoesNotStopTheNode)
    {
        m_output.fill();
        constexpr auto requests = 60; // Each is refused, which would write a log line.
        for (auto number = 0; number < requests; ++number)
            ASSERT_EQ(
                m_relay->send(callerRequest("GET", "/elsewhere/x", "Connection: close\r\n")).m_status, 404)
                << "expected request " << number << " to be answered";
    }

    TEST_F(RelayLogTest, ContainsNeitherKeysNorBodies)
    {
        m_relay->addUpstream("i-1", "pool", [](const UpstreamRequest& request) {
            return UpstreamReply { answerTo(request, 500, "the-answers-body") };
        });
        for (const auto* path : { "/plain/x", "/charge/x", "/elsewhere/x" })
            (void)m_relay->send(callerRequest("POST", path, "Connection: close\r\n", "the-requests-body"));
        (void)m_relay->send("GET /plain/x HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n"
                            "X-Marigoldladder-Request-Id: r\r\nApi-Key: unknown-key\r\n\r\n");
        const auto text = m_output.read();
        EXPECT_NE(text.find("\"request_refused\""), std::string::npos) << "expected lines about requests";
        for (const auto* secret : { "key-1", "unknown-key", "the-requests-body", "the-answers-body" })
            EXPECT_EQ(text.find(secret), std::string::npos) << "expected no '" << secret << "' in\n" << text;
    }

    TEST_F(RelayLogTest, SaysWhyABrokenStreamWasNotSentToAFurtherUpstream)
    {
        m_relay->addUpstream("i-1", "pool", [](const UpstreamRequest& request) {
            return UpstreamReply { streamHead(request, "first") + chunk("id: 1\ndata: a\n\n"), false, true };
        });
        (void)m_relay->send(callerRequest("POST", "/once/x", "", "go"));
        const auto text = m_output.read();
        const auto line = text.substr(std::min(text.find("\"request_cut\""), text.size()));
        EXPECT_NE(line.find("\"last_attempt_because\":\"not_repeatable\""), std::string::npos) << text;
        EXPECT_NE(text.find("\"silent_ms\":"), std::string::npos) << text;
        EXPECT_NE(text.find("\"left_ms\":"), std::string::npos) << text;
    }

    TEST_F(RelayLogTest, SaysWhichVersionOfTheAdapterAnEngineHeldAndTheRequestStated)
    {
        const auto models = nlohmann::json::array(
            { { { "name", "m" }, { "version", 1 }, { "adapters", nlohmann::json::array({ "a1@1" }) } } });
        m_relay->addUpstream(
            "i-1", "pool",
            [](const UpstreamRequest& request) { return UpstreamReply { answerTo(request, 500, "failed") }; },
            models);
        m_relay->put("versions", "m.a1", { { "model", "m" }, { "adapter", "a1" }, { "version", 2 } });
        auto text = std::string();
        ASSERT_TRUE(m_relay->eventually([&] {
            text += m_output.read();
            return text.find("\"adapter_version_announced\"") != std::string::npos;
        }));
        (void)m_relay->send(callerRequest("GET", "/plain/x", "X-Marigoldladder-Model: m/a1\r\n"));
        text += m_output.read();
        EXPECT_NE(text.find("\"held_version\":\"1\",\"stated_version\":\"\""), std::string::npos) << text;
    }

    TEST_F(RelayLogTest, OmitsLinesUnderLoad)
    {
        // More than the burst of 100 lines and the rate of 20 lines per second.
        constexpr auto requests = 400;
        auto text = std::string();
        for (auto number = 0; number < requests; ++number) {
            (void)m_relay->send(callerRequest("GET", "/elsewhere/x", "Connection: close\r\n"));
            text += m_output.read();
        }
        auto lines = 0;
        for (auto at = text.find("request_refused"); at != std::string::npos;
             at = text.find("request_refused", at + 1))
            ++lines;
        EXPECT_GE(lines, 100);
        EXPECT_LT(lines, requests)
            << "expected fewer lines than refused requests, as the rate of lines is limited";
    }

} // namespace
} // namespace marigoldladder::platform
