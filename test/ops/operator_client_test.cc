#include "marigoldladder/operator_client.h"

#include <gtest/gtest.h>
#include <httplib.h>
#include <thread>

namespace marigoldladder {
namespace {

    // A node that gives every handed-over note the same answer.
    class ScriptedNode {
    public:
        ScriptedNode(int status, const std::string& body)
        {
            m_server.Get("/v1/challenge",
                [](const auto&, auto& response) { response.set_content("{}", "application/json"); });
            m_server.Post("/v1/notes", [=, this](const auto& request, auto& response) {
                m_body = request.body;
                response.status = status;
                response.set_content(body, "application/json");
            });
            m_server.Get("/v1/status", [](const auto&, auto& response) {
                response.set_content(
                    R"({"members":[{"state":"alive","revision":7},{"state":"suspect","revision":1}]})",
                    "application/json");
            });
            m_address = { "127.0.0.1", m_server.bind_to_any_port("127.0.0.1") };
            m_thread = std::thread([this] { m_server.listen_after_bind(); });
            while (!m_server.is_running())
                std::this_thread::yield();
        }
        ScriptedNode(const ScriptedNode&) = delete;
        auto operator=(const ScriptedNode&) -> ScriptedNode& = delete;
        ~ScriptedNode()
        {
            m_server.stop();
            m_thread.join();
        }

        auto address() const -> const Address& { return m_address; }
        auto lastBody() const -> const std::string& { return m_body; }

    private:
        httplib::Server m_server;
        Address m_address;
        std::string m_body;
        std::thread m_thread;
    };

    constexpr auto note = "{\n\"note_id\":\"a\",\n\"changes\":[\n{\"withdraw\":\"key\",\"id\":\"k\"}]}";
    constexpr auto unknownOutcome = R"({"error":{"type":"unavailable","verdict":"may_have_run"}})";
    constexpr auto notRunOutcome = R"({"error":{"type":"unavailable","verdict":"not_run"}})";
    const auto nobody = Address { "127.0.0.1", 1 };

    auto apply(const std::vector<Address>& nodes) -> ApplyReport
    {
        return OperatorClient(nodes, "anna.secret").apply(note);
    }

    TEST(OperatorClientTest, ReportsWhereARecordedNoteIsInForce)
    {
        const auto node = ScriptedNode(200, R"({"result":"recorded","revision":7})");
        const auto report = apply({ node.address() });
        EXPECT_EQ(report.m_result, CommandResult::Done);
        EXPECT_EQ(report.m_coverage.m_liveNodes, 1) << "expected the suspect node not to count";
        EXPECT_EQ(report.m_coverage.m_nodesInForce, 1);
    }

    TEST(OperatorClientTest, ReportsAnUnknownOutcome)
    {
        const auto node = ScriptedNode(503, unknownOutcome);
        EXPECT_EQ(apply({ node.address() }).m_result, CommandResult::OutcomeUnknown);
    }

    TEST(OperatorClientTest, StaysUnsureWhenALaterNodeDidNothing)
    {
        const auto first = ScriptedNode(503, unknownOutcome);
        const auto second = ScriptedNode(503, notRunOutcome);
        EXPECT_EQ(apply({ first.address(), second.address() }).m_result, CommandResult::OutcomeUnknown);
    }

    TEST(OperatorClientTest, ReportsANoteInForceButNotRecorded)
    {
        const auto node = ScriptedNode(202, R"({"result":"in_force_unrecorded","peers_told":2})");
        EXPECT_EQ(apply({ node.address() }).m_result, CommandResult::InForceUnrecorded);
    }

    TEST(OperatorClientTest, RefusesWhenNoNodeCanBeReached)
    {
        EXPECT_EQ(apply({ nobody }).m_result, CommandResult::Refused);
    }

    TEST(OperatorClientTest, TriesTheNextNodeWithTheSameNote)
    {
        const auto first = ScriptedNode(503, unknownOutcome);
        const auto second = ScriptedNode(200, R"({"result":"recorded_before","revision":7})");
        const auto report = apply({ nobody, first.address(), second.address() });
        EXPECT_EQ(report.m_result, CommandResult::Done);
        EXPECT_TRUE(report.m_recordedBefore);
        EXPECT_EQ(first.lastBody(), second.lastBody());
    }

    TEST(OperatorClientTest, GivesANodesFaultsTheirLines)
    {
        const auto node = ScriptedNode(
            400, R"({"error":{"verdict":"not_run","faults":[{"path":"/changes/0","message":"is bad"}]}})");
        const auto report = apply({ node.address() });
        EXPECT_EQ(report.m_result, CommandResult::Refused);
        ASSERT_EQ(report.m_faults.size(), std::size_t { 1 });
        EXPECT_EQ(report.m_faults.front().m_line, std::size_t { 4 });
    }

    TEST(OperatorClientTest, SendsNoPlainSecret)
    {
        const auto node = ScriptedNode(200, R"({"revision":7})");
        auto client = OperatorClient({ node.address() }, "anna.secret");
        (void)client.apply(
            R"({"note_id":"a","changes":[{"put":"key","id":"k","organisation":"o","secret":"plain-1"}]})");
        EXPECT_EQ(node.lastBody().find("plain-1"), std::string::npos) << node.lastBody();
    }

} // namespace
} // namespace marigoldladder
