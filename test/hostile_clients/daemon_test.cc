// A node daemon among clients that send without end, or stop short and stay, at each of its ports.
#include "core/compression.h"
#include "harness/deployment.h"
#include "hostile_clients/crowd.h"
#include "hostile_clients/process_usage.h"

#include <gtest/gtest.h>

namespace marigoldladder::hostile {
namespace {

    constexpr auto okStatus = 200;
    constexpr auto processBytes = std::size_t { 128 } << 20;
    constexpr auto processDescriptors = std::size_t { 256 };
    constexpr auto maxRequestBytes = std::size_t { 4 } << 20;
    constexpr auto maxConnections = std::size_t { 40 };
    constexpr auto endlessBytes = std::size_t { 64 } << 20; // On one connection, far over every limit.
    constexpr auto fewConnections = std::size_t { 4 };
    constexpr auto silentConnections = std::size_t { 200 };
    constexpr auto largeChunk = std::size_t { 64 } << 10;
    constexpr auto answerTime = std::chrono::seconds(20);

    struct DaemonPort {
        const char* m_name;
        Address harness::RunningNode::*m_address;
        const char* m_target; // Of an ordinary request.

        friend auto operator<<(std::ostream& out, const DaemonPort& port) -> std::ostream&
        {
            return out << port.m_name;
        }
    };

    auto plan() -> harness::DeploymentPlan
    {
        const auto limits = nlohmann::json { { "limits",
            { { "max_request_bytes", maxRequestBytes }, { "max_connections", maxConnections } } } };
        auto plan = harness::DeploymentPlan();
        plan.m_nodes = { { "bern-a-1", "bern-a", limits } };
        return plan;
    }

    auto statusOf(const Address& address, const char* target) -> int
    {
        auto client = httplib::Client(address.m_host, address.m_port);
        client.set_read_timeout(answerTime);
        const auto answer = client.Get(target);
        return answer ? answer->status : 0;
    }

    auto headWith(const std::string& framing) -> std::string
    {
        return "POST /v1/notes HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n" + framing
            + "\r\n\r\n";
    }

    constexpr auto chunked = "Transfer-Encoding: chunked";

    class DaemonHostileClientsTest : public testing::TestWithParam<DaemonPort> {
    protected:
        auto node() -> harness::RunningNode& { return m_deployment.node(0); }
        auto address() -> const Address& { return node().*GetParam().m_address; }

        // Expects that the process lives within its bounds and answers an ordinary request at each port.
        auto expectUnharmed() -> void
        {
            awaitRest(node().m_process.pid());
            ASSERT_FALSE(node().m_process.hasEnded()) << node().m_process.end();
            const auto peak = peakResidentBytes(node().m_process.pid());
            RecordProperty("peak_resident_bytes", std::to_string(peak));
            EXPECT_LE(peak, processBytes);
            EXPECT_LE(openDescriptors(node().m_process.pid()), processDescriptors);
            EXPECT_EQ(statusOf(node().m_caller, "/v1/addresses"), okStatus);
            EXPECT_EQ(statusOf(node().m_operator, "/v1/challenge?name=anna"), okStatus);
        }

        auto meet(std::size_t connections, const Flood& flood) -> void
        {
            auto crowd = Crowd(address(), connections);
            crowd.send(flood);
            expectUnharmed();
        }

        harness::Deployment m_deployment { plan() };
    };

    TEST_P(DaemonHostileClientsTest, OutlivesBodiesSentFarOverTheLimit)
    {
        meet(fewConnections, floodOfChunks(headWith(chunked), largeChunk, endlessBytes));
    }

    TEST_P(DaemonHostileClientsTest, OutlivesBodiesAnnouncedFarOverTheLimit)
    {
        meet(fewConnections, floodOf(headWith("Content-Length: 1000000000000"), "x", endlessBytes));
    }

    TEST_P(DaemonHostileClientsTest, OutlivesTrailersWithoutEnd)
    {
        meet(fewConnections, floodOf(headWith(chunked) + "2\r\n{}\r\n0\r\n", "x: 1\r\n", endlessBytes));
    }

    TEST_P(DaemonHostileClientsTest, OutlivesAChunkExtensionWithoutEnd)
    {
        meet(fewConnections, floodOf(headWith(chunked) + "2;x=", "x", endlessBytes));
    }

    TEST_P(DaemonHostileClientsTest, OutlivesAHeadLineWithoutEnd)
    {
        meet(fewConnections, floodOf("POST /v1/notes HTTP/1.1\r\nx: ", "x", endlessBytes));
    }

    TEST_P(DaemonHostileClientsTest, OutlivesHeadLinesWithoutEnd)
    {
        meet(fewConnections, floodOf("POST /v1/notes HTTP/1.1\r\n", "x: 1\r\n", endlessBytes));
    }

    // The library takes compressed bodies apart by itself.
    TEST_P(DaemonHostileClientsTest, OutlivesCompressedBodiesThatGrowFarOverTheLimit)
    {
        const auto body = compress(std::string(endlessBytes, 'x'));
        const auto framing = "Content-Encoding: deflate\r\nContent-Length: " + std::to_string(body.size());
        meet(fewConnections, { headWith(framing), { body.begin(), body.end() }, 1 });
    }

    TEST_P(DaemonHostileClientsTest, OutlivesManyBodiesThatStopShort)
    {
        const auto head = headWith("Content-Length: " + std::to_string(maxRequestBytes));
        meet(maxConnections, floodOf(head, "x", maxRequestBytes - largeChunk));
    }

    TEST_P(DaemonHostileClientsTest, OutlivesSilentConnections)
    {
        meet(silentConnections, {});
    }

    INSTANTIATE_TEST_SUITE_P(Ports, DaemonHostileClientsTest,
        testing::Values(DaemonPort { "callers", &harness::RunningNode::m_caller, "/v1/addresses" },
            DaemonPort { "operator", &harness::RunningNode::m_operator, "/v1/challenge?name=anna" },
            DaemonPort { "peer", &harness::RunningNode::m_peer, "" }),
        [](const testing::TestParamInfo<DaemonPort>& port) { return port.param.m_name; });

} // namespace
} // namespace marigoldladder::hostile
