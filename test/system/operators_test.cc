// Operators over real processes: who may speak, drains by command, the audit trail.
#include "harness/deployment.h"

#include <fstream>
#include <gtest/gtest.h>
#include <unistd.h>

namespace marigoldladder::harness {
namespace {

    constexpr auto withinSeconds = std::chrono::seconds(4);

    class OperatorsTest : public ::testing::Test {
    protected:
        OperatorsTest()
            : m_deployment(smallPlan())
            , m_credentials(::testing::TempDir() + "operator-" + std::to_string(getpid()))
        {
            EXPECT_TRUE(m_deployment.waitUntilServing()) << "expected every node to serve";
            EXPECT_EQ(m_deployment.applyNote(0, basicNote(1))->status, 200);
            std::ofstream(m_credentials) << operatorCredential;
        }
        ~OperatorsTest() override { std::remove(m_credentials.c_str()); }

        // Runs marigoldctl with an unreachable node named first.
        auto control(std::vector<std::string> arguments) -> CommandOutcome
        {
            arguments.insert(arguments.end(),
                { "--node", "127.0.0.1:1," + formatAddress(m_deployment.node(1).m_operator),
                    "--credential-file", m_credentials });
            return runCommand("marigoldctl", arguments);
        }

        auto operatorStatus(const char* credential) -> int
        {
            const auto& address = m_deployment.node(0).m_operator;
            auto client = httplib::Client(address.m_host, address.m_port);
            if (credential)
                client.set_bearer_token_auth(credential);
            const auto note = R"({"note_id":"x","changes":[{"withdraw":"key","id":"aare-1"}]})";
            const auto answer = client.Post("/v1/notes", note, "application/json");
            return answer ? answer->status : 0;
        }

        auto namedAddresses(std::size_t node) -> std::string
        {
            const auto answer = makeCaller(m_deployment.node(node).m_caller, "").Get("/v1/addresses");
            return answer ? answer->body : "";
        }

        Deployment m_deployment;
        std::string m_credentials;
    };

    TEST_F(OperatorsTest, AreRefusedWithAWrongOrMissingCredential)
    {
        EXPECT_EQ(operatorStatus(nullptr), 401);
        EXPECT_EQ(operatorStatus("anna.wrong"), 401);
        EXPECT_EQ(operatorStatus("beat.operator-credential-1"), 401);
    }

    TEST_F(OperatorsTest, AreNotCallersAndCallersAreNotOperators)
    {
        EXPECT_EQ(operatorStatus(basicKey), 401);
        auto caller = makeCaller(m_deployment.node(0).m_caller, operatorCredential);
        const auto answer
            = caller.Post("/v1/completions", completionBody("adapter-0@1", 1, false), "application/json");
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->status, 401);
        const auto misplaced = caller.Get("/v1/status");
        ASSERT_TRUE(misplaced);
        EXPECT_EQ(misplaced->status, 404) << "expected no operator call on the caller port";
    }

    TEST_F(OperatorsTest, TakeADataCentreOutAndIn)
    {
        EXPECT_EQ(control({ "dc", "in", "bern-a" }).m_exitCode, 1) << "expected it not to be out";
        const auto out = control({ "dc", "out", "bern-a" });
        EXPECT_EQ(out.m_exitCode, 0) << out.m_output;
        for (const auto node : { std::size_t { 0 }, std::size_t { 1 } })
            EXPECT_TRUE(waitUntil(
                withinSeconds, [&] { return namedAddresses(node).find("\"bern-a\"") == std::string::npos; }))
                << "expected node " << node << " to name nobody in the data centre within 4 s";
        EXPECT_NE(control({ "status" }).m_output.find("data_centre bern-a"), std::string::npos);
        const auto in = control({ "dc", "in", "bern-a" });
        EXPECT_EQ(in.m_exitCode, 0) << in.m_output;
        EXPECT_TRUE(waitUntil(
            withinSeconds, [&] { return namedAddresses(0).find("\"bern-a\"") != std::string::npos; }));
    }

    TEST_F(OperatorsTest, ReadWhoChangedWhatWithoutSecretsOrDigests)
    {
        ASSERT_EQ(control({ "vm", "out", "olten-1" }).m_exitCode, 0);
        const auto log = control({ "note", "log" });
        EXPECT_EQ(log.m_exitCode, 0);
        for (const auto* part : { "basic", "anna", "bern", "put key aare-1", "put drain vm olten-1" })
            EXPECT_NE(log.m_output.find(part), std::string::npos)
                << "expected " << part << " in " << log.m_output;
        const auto json = control({ "note", "log", "--after", "1", "--json" });
        EXPECT_EQ(nlohmann::json::parse(json.m_output)["notes"].size(), std::size_t { 1 }) << json.m_output;
        EXPECT_EQ(control({ "note", "log", "--json" }).m_output.find("digest"), std::string::npos);
    }

    TEST_F(OperatorsTest, LearnEveryFaultOfANoteByLine)
    {
        const auto file = m_credentials + ".json";
        std::ofstream(file)
            << "{\"note_id\": \"bad\", \"changes\": [\n{\"withdraw\": \"key\", \"id\": \"none\"},\n"
               "{\"put\": \"key\", \"id\": \"k\", \"organisation\": \"none\", \"secret\": \"s\"}]}";
        const auto outcome = control({ "note", "apply", file });
        std::remove(file.c_str());
        EXPECT_EQ(outcome.m_exitCode, 1);
        EXPECT_NE(outcome.m_output.find(file + ":2: /changes/0 withdraws"), std::string::npos)
            << outcome.m_output;
        EXPECT_NE(outcome.m_output.find(file + ":3: /changes/1/organisation"), std::string::npos)
            << outcome.m_output;
    }

    TEST_F(OperatorsTest, LearnWhatBecameOfARequest)
    {
        const auto send = [&](const char* key) {
            auto caller = makeCaller(m_deployment.node(1).m_caller, key);
            return caller.Post(
                "/v1/completions", completionBody("adapter-0@1", 1, false), "application/json");
        };
        ASSERT_TRUE(waitUntil(withinSeconds, [&] { return send(basicKey)->status == 200; }));
        const auto answered = send(basicKey);
        const auto refused = send("aare-1.wrong");
        const auto good = control({ "explain", answered->get_header_value("X-Request-Id") });
        EXPECT_NE(good.m_output.find("aare  adapter-0@1  triage-"), std::string::npos) << good.m_output;
        EXPECT_NE(good.m_output.find("answered whole"), std::string::npos) << good.m_output;
        const auto bad = control({ "explain", nlohmann::json::parse(refused->body)["error"]["request_id"] });
        EXPECT_NE(bad.m_output.find("not_run"), std::string::npos) << bad.m_output;
        EXPECT_NE(control({ "explain", "0" }).m_output.find("no node"), std::string::npos);
    }

    TEST_F(OperatorsTest, AreToldOfAWrongCommandLine)
    {
        EXPECT_EQ(control({ "note", "burn" }).m_exitCode, 2);
        EXPECT_EQ(control({ "note", "log", "--after", "yesterday" }).m_exitCode, 2);
    }

} // namespace
} // namespace marigoldladder::harness
