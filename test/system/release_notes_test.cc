// Release notes over real processes: spread, races of two offices, lost replies, outages and restarts.
#include "core/secret_digest.h"
#include "harness/deployment.h"

#include <fstream>
#include <gtest/gtest.h>
#include <thread>
#include <unistd.h>

namespace marigoldladder::harness {
namespace {

    constexpr auto withinSeconds = std::chrono::seconds(4);
    constexpr auto startTimeout = std::chrono::seconds(15);
    constexpr auto nodeCount = std::size_t { 4 };
    constexpr auto bern = "anna.operator-credential-1";
    constexpr auto olten = "beat.operator-credential-2";

    auto grantOf(const char* name, const char* office, const char* secret) -> nlohmann::json
    {
        return { { "name", name }, { "office", office }, { "salt", "salt" },
            { "credential_digest", saltedDigest("salt", secret) } };
    }

    // Four nodes in two data centres, operators in two offices, and the usual upstreams.
    auto twoOfficePlan() -> DeploymentPlan
    {
        auto plan = smallPlan();
        plan.m_nodes = { { "bern-a-1", "bern-a" }, { "bern-a-2", "bern-a" }, { "olten-1", "olten" },
            { "olten-2", "olten" } };
        for (auto& node : plan.m_nodes)
            node.m_extraSettings["operators"] = { grantOf("anna", "bern", "operator-credential-1"),
                grantOf("beat", "olten", "operator-credential-2") };
        return plan;
    }

    class ReleaseNotesTest : public ::testing::Test {
    protected:
        ReleaseNotesTest()
            : m_deployment(twoOfficePlan())
            , m_file(::testing::TempDir() + "note-" + std::to_string(getpid()) + ".json")
        {
            EXPECT_TRUE(m_deployment.waitUntilServing()) << "expected every node to serve";
            const auto applied = apply(0, bern, basicNote(2));
            EXPECT_TRUE(applied && applied->status == 200) << "expected the first note to be taken";
            EXPECT_TRUE(waitUntil(withinSeconds, [&] { return keyWorksOnAll(true); }))
                << "expected the first note in force on every node within 4 s";
        }
        ~ReleaseNotesTest() override { std::remove(m_file.c_str()); }

        auto apply(std::size_t node, const char* credential, const nlohmann::json& note) -> httplib::Result
        {
            auto client = operatorOf(node, credential);
            return client.Post("/v1/notes", note.dump(), "application/json");
        }

        auto operatorOf(std::size_t node, const char* credential) -> httplib::Client
        {
            const auto& address = m_deployment.node(node).m_operator;
            auto client = httplib::Client(address.m_host, address.m_port);
            client.set_bearer_token_auth(credential);
            client.set_read_timeout(std::chrono::seconds(20));
            return client;
        }

        auto statusOf(std::size_t node) -> nlohmann::json
        {
            const auto answer = operatorOf(node, bern).Get("/v1/status");
            return answer ? nlohmann::json::parse(answer->body) : nlohmann::json::object();
        }

        auto logOf(std::size_t node) -> nlohmann::json
        {
            const auto answer = operatorOf(node, bern).Get("/v1/notes");
            return answer ? nlohmann::json::parse(answer->body).value("notes", nlohmann::json::array())
                          : nlohmann::json::array();
        }

        auto callStatus(std::size_t node) -> int
        {
            auto caller = makeCaller(m_deployment.node(node).m_caller, basicKey);
            return callStatus(caller);
        }

        static auto callStatus(httplib::Client& caller) -> int
        {
            const auto answer
                = caller.Post("/v1/completions", completionBody("adapter-0@1", 2, false), "application/json");
            return answer ? answer->status : 0;
        }

        auto keyWorksOnAll(bool works) -> bool
        {
            for (auto i = std::size_t { 0 }; i < nodeCount; ++i) {
                if (callStatus(i) != (works ? 200 : 401))
                    return false;
            }
            return true;
        }

        // Runs marigoldctl as the operator in Bern against a node.
        auto control(std::size_t node, std::vector<std::string> arguments) -> CommandOutcome
        {
            const auto credentials = m_file + ".credential";
            std::ofstream(credentials) << bern << "\n";
            arguments.insert(arguments.end(),
                { "--node", formatAddress(m_deployment.node(node).m_operator), "--credential-file",
                    credentials });
            auto outcome = runCommand("marigoldctl", arguments);
            std::remove(credentials.c_str());
            return outcome;
        }

        auto controlApply(std::size_t node, const nlohmann::json& note) -> CommandOutcome
        {
            std::ofstream(m_file) << note.dump(1);
            return control(node, { "note", "apply", m_file });
        }

        // Tells a node's next start where its peers are.
        auto seed(std::size_t node, std::size_t peer) -> void
        {
            m_deployment.node(node).m_plan.m_extraSettings["seed_peers"]
                = { formatAddress(m_deployment.node(peer).m_peer) };
        }

        Deployment m_deployment;
        std::string m_file;
    };

    auto noteOf(const std::string& id, const nlohmann::json& change) -> nlohmann::json
    {
        return { { "note_id", id }, { "changes", nlohmann::json::array({ change }) } };
    }

    auto withdrawKey() -> nlohmann::json
    {
        return noteOf("withdraw-key", { { "withdraw", "key" }, { "id", "aare-1" } });
    }

    auto putRoute(const std::string& name) -> nlohmann::json
    {
        return { { "put", "route" }, { "name", name }, { "pool", "booking-app" }, { "open_to_all", true },
            { "idempotent", true } };
    }

    TEST_F(ReleaseNotesTest, AreInForceOnEveryNodeWithinSeconds)
    {
        const auto outcome = controlApply(0, noteOf("route", putRoute("new")));
        EXPECT_EQ(outcome.m_exitCode, 0) << outcome.m_output;
        EXPECT_NE(outcome.m_output.find("in force on 4 of 4 live nodes"), std::string::npos)
            << outcome.m_output;
        EXPECT_TRUE(waitUntil(withinSeconds, [&] {
            auto caller = makeCaller(m_deployment.node(3).m_caller, "");
            const auto answer = caller.Get("/services/new/x");
            return answer && answer->status == 200;
        }));
    }

    TEST_F(ReleaseNotesTest, OfTwoOfficesThatRaceAreAllTaken)
    {
        constexpr auto notesEach = 15;
        const auto write = [&](std::size_t node, const char* credential, const std::string& office) {
            for (auto i = 0; i < notesEach; ++i) {
                const auto name = office + std::to_string(i);
                const auto answer = apply(node, credential, noteOf(name, putRoute(name)));
                EXPECT_TRUE(answer && answer->status == 200) << "expected " << name << " taken";
            }
        };
        auto other = std::thread([&] { write(2, olten, "olten"); });
        write(0, bern, "bern");
        other.join();
        EXPECT_EQ(logOf(1).size(), std::size_t { 1 + 2 * notesEach });
        EXPECT_TRUE(waitUntil(withinSeconds, [&] { return statusOf(3)["revision"] == 1 + 2 * notesEach; }));
    }

    TEST_F(ReleaseNotesTest, ThatAreStaleAreRefusedWithTheOtherOfficesChange)
    {
        ASSERT_EQ(apply(0, bern, noteOf("first", putRoute("shared")))->status, 200);
        ASSERT_EQ(apply(2, olten, noteOf("second", putRoute("shared")))->status, 200);
        auto change = putRoute("shared");
        change["expected_revision"] = 2;
        const auto outcome = controlApply(1, noteOf("third", change));
        EXPECT_EQ(outcome.m_exitCode, 1);
        EXPECT_NE(outcome.m_output.find("revision 3 by beat of office olten, note second"), std::string::npos)
            << outcome.m_output;
    }

    TEST_F(ReleaseNotesTest, TriedAgainAfterALostReplyDoNotUndoAWithdrawal)
    {
        m_deployment.setPlatformFault({ { "lose_replies", 1 } });
        const auto grant = noteOf("again",
            { { "put", "key" }, { "id", "aare-2" }, { "organisation", "aare" }, { "secret", "secret" } });
        (void)apply(0, bern, grant);
        ASSERT_EQ(apply(2, olten, noteOf("end", { { "withdraw", "key" }, { "id", "aare-2" } }))->status, 200);
        const auto again = apply(3, bern, grant);
        ASSERT_TRUE(again);
        EXPECT_EQ(nlohmann::json::parse(again->body)["result"], "recorded_before") << again->body;
        for (auto i = std::size_t { 0 }; i < nodeCount; ++i) {
            EXPECT_TRUE(waitUntil(withinSeconds,
                [&] {
                    auto caller = makeCaller(m_deployment.node(i).m_caller, "aare-2.secret");
                    return callStatus(caller) == 401;
                }))
                << "expected the key to stay withdrawn on node " << i;
        }
    }

    TEST_F(ReleaseNotesTest, AreRefusedWholeWhileThePlatformIsDown)
    {
        m_deployment.setPlatformFault({ { "mode", "down" } });
        const auto outcome = controlApply(0, noteOf("grant", putRoute("never")));
        EXPECT_EQ(outcome.m_exitCode, 1) << outcome.m_output;
        m_deployment.setPlatformFault({ { "mode", "up" } });
        EXPECT_EQ(logOf(1).size(), std::size_t { 1 }) << "expected nothing of the refused note in the log";
    }

    TEST_F(ReleaseNotesTest, WithdrawAKeyOnOpenConnectionsOfEveryNodeThoughThePlatformHangs)
    {
        auto callers = std::vector<httplib::Client>();
        for (auto i = std::size_t { 0 }; i < nodeCount; ++i) {
            callers.push_back(makeCaller(m_deployment.node(i).m_caller, basicKey));
            ASSERT_EQ(callStatus(callers.back()), 200);
        }
        m_deployment.setPlatformFault({ { "mode", "hang" } });
        auto outcome = CommandOutcome();
        auto command = std::thread([&] { outcome = controlApply(0, withdrawKey()); });
        for (auto& caller : callers) {
            EXPECT_TRUE(waitUntil(withinSeconds, [&] { return callStatus(caller) == 401; }))
                << "expected the key to stop working within 4 s on an open connection";
        }
        command.join();
        EXPECT_EQ(outcome.m_exitCode, 4) << outcome.m_output;
        m_deployment.node(0).m_process.kill();
        m_deployment.setPlatformFault({ { "mode", "up" } });
        EXPECT_TRUE(waitUntil(startTimeout, [&] { return logOf(2).size() == 2; }))
            << "expected another node to record the withdrawal once the platform is back";
        EXPECT_TRUE(waitUntil(withinSeconds, [&] { return statusOf(3)["unrecorded"].empty(); }));
        EXPECT_EQ(statusOf(3)["revision"], 2) << "expected the withdrawal recorded once";
        EXPECT_EQ(callStatus(callers[1]), 401);
    }

    TEST_F(ReleaseNotesTest, AreInForceOnANodeRestartedDuringAnOutage)
    {
        m_deployment.setPlatformFault({ { "mode", "down" } });
        const auto outcome = controlApply(0, withdrawKey());
        EXPECT_EQ(outcome.m_exitCode, 4) << outcome.m_output;
        seed(3, 1);
        m_deployment.restartNode(3);
        EXPECT_TRUE(waitUntil(startTimeout, [&] {
            auto caller = makeCaller(m_deployment.node(3).m_caller, "");
            const auto answer = caller.Get("/services/slots/free");
            return answer && answer->status != 404;
        })) << "expected the restarted node to know the routes";
        EXPECT_EQ(statusOf(3)["revision"], 1);
        EXPECT_EQ(callStatus(3), 401) << "expected the pending withdrawal in force on the restarted node";
    }

    TEST_F(ReleaseNotesTest, AreAwaitedByANodeThatFindsNoneAtItsStart)
    {
        m_deployment.setPlatformFault({ { "mode", "down" } });
        m_deployment.restartNode(3);
        std::this_thread::sleep_for(std::chrono::seconds(1));
        const auto health = makeCaller(m_deployment.node(3).m_caller, "").Get("/healthz");
        ASSERT_TRUE(health);
        EXPECT_EQ(health->status, 503) << "expected no service without a configuration";
        EXPECT_EQ(callStatus(3), 503) << "expected callers to be sent elsewhere, not their key refused";
        m_deployment.setPlatformFault({ { "mode", "up" } });
        EXPECT_TRUE(waitUntil(startTimeout, [&] { return callStatus(3) == 200; }));
    }

    TEST_F(ReleaseNotesTest, AreLoadedFromASnapshotByANodeThatStartsLate)
    {
        constexpr auto notes = 140; // More than a snapshot is due after.
        for (auto i = 0; i < notes; ++i)
            ASSERT_EQ(apply(0, bern, noteOf("route-" + std::to_string(i), putRoute("shared")))->status, 200);
        const auto& platform = m_deployment.platform();
        ASSERT_TRUE(waitUntil(startTimeout, [&] {
            const auto head
                = httplib::Client(platform.m_host, platform.m_port).Get("/api/v1/releaseheads/head");
            return head && head->status == 200;
        })) << "expected a snapshot once it is due";
        const auto late = m_deployment.addNode({ "olten-9", "olten" });
        EXPECT_TRUE(waitUntil(startTimeout, [&] { return callStatus(late) == 200; }));
        EXPECT_EQ(logOf(late).size(), std::size_t { notes + 1 });
    }

    TEST_F(ReleaseNotesTest, ReachANodeThatWasFrozenWhileTheyWereWritten)
    {
        m_deployment.node(3).m_process.signal(SIGSTOP);
        EXPECT_EQ(apply(0, bern, withdrawKey())->status, 200);
        m_deployment.node(3).m_process.signal(SIGCONT);
        EXPECT_TRUE(waitUntil(withinSeconds, [&] { return callStatus(3) == 401; }));
    }

    // How often nodes without news ask the platform for notes in some seconds.
    TEST(ReleaseNotesReadersTest, AreTwoInADataCentreHoweverManyNodesItHas)
    {
        constexpr auto nodes = 8;
        constexpr auto seconds = 4;
        auto plan = DeploymentPlan();
        for (auto i = 0; i < nodes; ++i)
            plan.m_nodes.push_back({ "olten-" + std::to_string(i), "olten" });
        auto deployment = Deployment(plan);
        ASSERT_TRUE(deployment.waitUntilServing());
        std::this_thread::sleep_for(std::chrono::seconds(3)); // Until they know each other.
        const auto count = [&] { return deployment.platformStats()["by_kind"].value("releasenotes", 0); };
        const auto before = count();
        std::this_thread::sleep_for(std::chrono::seconds(seconds));
        const auto readers = 2;
        const auto mostPerReader = 2 * seconds; // At most one read in three quarters of a second.
        EXPECT_LE(count() - before, readers * mostPerReader)
            << "expected reads by " << readers << " nodes only";
    }

} // namespace
} // namespace marigoldladder::harness
