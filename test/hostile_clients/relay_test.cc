// A relay process among clients that send without end, or stop short and stay.
//
// Each test fixes a crowd and checks what doesn't depend on the machine's speed: that the process lives
// within the memory and the descriptors that its settings name, and that an ordinary request is answered
// while the crowd is still connected.
#include "hostile_clients/crowd.h"
#include "hostile_clients/process_usage.h"
#include "hostile_clients/relay_under_test.h"
#include "platform/relay_harness.h"
#include "relay/generated/peer_messages_generated.h"

#include <gtest/gtest.h>

namespace marigoldladder::hostile {
namespace {

    constexpr auto okStatus = 200;
    constexpr auto unavailableStatus = 503;
    constexpr auto largeChunk = std::size_t { 64 } << 10;
    constexpr auto smallChunk = std::size_t { 8 };
    constexpr auto almostWholeBody = std::size_t { 900'000 };
    constexpr auto endlessBytes = std::size_t { 40 } << 20; // On one connection, far over every limit.
    constexpr auto fewConnections = std::size_t { 4 };
    constexpr auto manyConnections = std::size_t { 100 };
    constexpr auto moreThanDescriptors = std::size_t { 400 };
    constexpr auto chunked = "Transfer-Encoding: chunked";

    // Answers once nobody waits any more.
    auto answerLate(const platform::UpstreamRequest& request) -> platform::UpstreamReply
    {
        if (request.target() == "/plain/ordinary")
            return answerAtOnce(request);
        auto reply = platform::UpstreamReply();
        reply.m_later.push_back({ std::chrono::seconds(20), platform::answerTo(request, okStatus, "late") });
        return reply;
    }

    // Answers with more than a caller's connection holds unread.
    auto answerAtLength(const platform::UpstreamRequest& request) -> platform::UpstreamReply
    {
        constexpr auto answerBytes = std::size_t { 6'000'000 };
        if (request.target() == "/plain/ordinary")
            return answerAtOnce(request);
        return { platform::answerTo(request, okStatus, std::string(answerBytes, 'x')) };
    }

    class RelayHostileClientsTest : public testing::Test {
    protected:
        auto start(const RelayUnderTest::Answer& answer = answerAtOnce) -> void
        {
            m_relay = std::make_unique<RelayUnderTest>(answer);
            ASSERT_LT(peakResidentBytes(m_relay->process().pid()), machineBytes);
        }

        // Expects that the process lives within its machine and answers an ordinary caller.
        auto expectUnharmed() -> void
        {
            awaitRest(m_relay->process().pid());
            ASSERT_FALSE(m_relay->process().hasEnded()) << m_relay->process().end();
            const auto peak = peakResidentBytes(m_relay->process().pid());
            RecordProperty("peak_resident_bytes", std::to_string(peak));
            EXPECT_LE(peak, machineBytes);
            EXPECT_LE(openDescriptors(m_relay->process().pid()), machineDescriptors);
            EXPECT_EQ(m_relay->statusOfOrdinaryRequest(), okStatus);
            EXPECT_FALSE(m_relay->process().hasEnded()) << m_relay->process().end();
        }

        auto meet(const Address& address, std::size_t connections, const Flood& flood) -> void
        {
            auto crowd = Crowd(address, connections);
            crowd.send(flood);
            expectUnharmed();
        }

        auto meetAtCallerPort(std::size_t connections, const Flood& flood) -> void
        {
            meet(m_relay->callerAddress(), connections, flood);
        }

        std::unique_ptr<RelayUnderTest> m_relay;
    };

    TEST_F(RelayHostileClientsTest, ServesASingleRequestAtTheLimitInCalm)
    {
        start();
        EXPECT_EQ(m_relay->statusOfOrdinaryRequest(std::string(maxBodyBytes, 'x')), okStatus);
        expectUnharmed();
    }

    TEST_F(RelayHostileClientsTest, OutlivesTrailersWithoutEnd)
    {
        start();
        const auto head = requestHead(chunked) + "5\r\nhello\r\n0\r\n";
        meetAtCallerPort(fewConnections, floodOf(head, "x: 1\r\n", endlessBytes));
    }

    TEST_F(RelayHostileClientsTest, OutlivesATrailerLineWithoutEnd)
    {
        start();
        meetAtCallerPort(fewConnections, floodOf(requestHead(chunked) + "0\r\nx: ", "x", endlessBytes));
    }

    TEST_F(RelayHostileClientsTest, OutlivesAChunkExtensionWithoutEnd)
    {
        start();
        meetAtCallerPort(fewConnections, floodOf(requestHead(chunked) + "5;x=", "x", endlessBytes));
    }

    TEST_F(RelayHostileClientsTest, OutlivesBodiesAnnouncedFarOverTheLimit)
    {
        start();
        meetAtCallerPort(
            fewConnections, floodOf(requestHead("Content-Length: 1000000000000"), "x", endlessBytes));
    }

    TEST_F(RelayHostileClientsTest, OutlivesOneChunkAnnouncedFarOverTheLimit)
    {
        start();
        meetAtCallerPort(fewConnections, floodOf(requestHead(chunked) + "ffffffffff\r\n", "x", endlessBytes));
    }

    TEST_F(RelayHostileClientsTest, OutlivesBodiesSentFarOverTheLimit)
    {
        start();
        meetAtCallerPort(fewConnections, floodOfChunks(requestHead(chunked), largeChunk, endlessBytes));
    }

    TEST_F(RelayHostileClientsTest, OutlivesManyBodiesInLargeChunksThatStopShort)
    {
        start();
        meetAtCallerPort(manyConnections, floodOfChunks(requestHead(chunked), largeChunk, almostWholeBody));
    }

    TEST_F(RelayHostileClientsTest, OutlivesManyBodiesInSmallChunksThatStopShort)
    {
        start();
        meetAtCallerPort(manyConnections, floodOfChunks(requestHead(chunked), smallChunk, almostWholeBody));
    }

    TEST_F(RelayHostileClientsTest, OutlivesManyBodiesOfAStatedLengthThatStopShort)
    {
        start();
        const auto head = requestHead("Content-Length: " + std::to_string(maxBodyBytes));
        meetAtCallerPort(manyConnections, floodOf(head, "x", almostWholeBody));
    }

    TEST_F(RelayHostileClientsTest, OutlivesManyWholeBodiesAtAnUpstreamThatTakesItsTime)
    {
        start(answerLate);
        const auto head = requestHead("Content-Length: " + std::to_string(almostWholeBody));
        meetAtCallerPort(manyConnections, { head, std::string(almostWholeBody, 'x'), 1 });
    }

    // Bodies of requests that run are kept, so a further large one finds no room; a small one does.
    TEST_F(RelayHostileClientsTest, RefusesABodyThatFindsNoRoomAsNotRun)
    {
        start(answerLate);
        const auto head = requestHead("Content-Length: " + std::to_string(almostWholeBody));
        auto crowd = Crowd(m_relay->callerAddress(), manyConnections);
        crowd.send({ head, std::string(almostWholeBody, 'x'), 1 });
        awaitRest(m_relay->process().pid());
        const auto refusal = m_relay->answerToOrdinaryRequest(std::string(almostWholeBody, 'x'));
        EXPECT_EQ(refusal.m_status, unavailableStatus);
        EXPECT_NE(refusal.m_body.find("not_run"), std::string::npos) << refusal.m_body;
        EXPECT_FALSE(refusal.m_retryAfter.empty());
        EXPECT_EQ(m_relay->statusOfOrdinaryRequest(), okStatus);
    }

    TEST_F(RelayHostileClientsTest, OutlivesManyHeadsOfShortFieldsThatStopShort)
    {
        start();
        const auto begin = std::string("POST /plain/x HTTP/1.1\r\nHost: h.example\r\n");
        auto fields = std::string();
        while (begin.size() + fields.size() + 16 < maxHeaderBytes)
            fields += "a:\r\n";
        meetAtCallerPort(2 * manyConnections, { begin, fields, 1 });
    }

    TEST_F(RelayHostileClientsTest, OutlivesManyRequestsWhoseAnswersNobodyReads)
    {
        start(answerAtLength);
        meetAtCallerPort(manyConnections, { requestHead("Content-Length: 0"), "", 0 });
    }

    TEST_F(RelayHostileClientsTest, OutlivesRequestsInARowWhoseAnswersNobodyReads)
    {
        start();
        meetAtCallerPort(fewConnections, floodOf("", requestHead("Content-Length: 0"), endlessBytes));
    }

    TEST_F(RelayHostileClientsTest, OutlivesMoreIdleConnectionsThanDescriptors)
    {
        start();
        meetAtCallerPort(moreThanDescriptors, {});
    }

    TEST_F(RelayHostileClientsTest, OutlivesMoreBegunRequestsThanDescriptors)
    {
        start();
        meetAtCallerPort(moreThanDescriptors, { "POST /plain/x HT", "", 0 });
    }

    // Upstreams in trouble send without end, too.
    auto answerWithTrailers(const platform::UpstreamRequest& request) -> platform::UpstreamReply
    {
        static const auto trailers = [] {
            auto bytes = std::string();
            while (bytes.size() < endlessBytes)
                bytes += "x: 1\r\n";
            return bytes;
        }();
        if (request.target() == "/plain/ordinary")
            return answerAtOnce(request);
        return { "HTTP/1.1 200 OK\r\nX-Marigoldladder-Request-Id: "
            + std::string(request["X-Marigoldladder-Request-Id"])
            + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + trailers };
    }

    TEST_F(RelayHostileClientsTest, OutlivesAnswersWithTrailersWithoutEnd)
    {
        start(answerWithTrailers);
        meetAtCallerPort(fewConnections, { requestHead("Content-Length: 0"), "", 0 });
    }

    // The ports besides the callers': anyone who reaches the machine can send there, too.
    struct OtherPort {
        const char* m_name;
        const Address& (RelayUnderTest::*m_address)() const;
        const char* m_target;

        friend auto operator<<(std::ostream& out, const OtherPort& port) -> std::ostream&
        {
            return out << port.m_name;
        }
    };

    class RelayOtherPortsTest : public RelayHostileClientsTest,
                                public testing::WithParamInterface<OtherPort> {
    protected:
        auto address() const -> const Address& { return (*m_relay.*GetParam().m_address)(); }

        auto head(const std::string& framing) const -> std::string
        {
            return std::string("GET ") + GetParam().m_target + " HTTP/1.1\r\nHost: node\r\n" + framing
                + "\r\n\r\n";
        }

        // The port itself answers, too.
        auto meetAtPort(std::size_t connections, const Flood& flood) -> void
        {
            auto crowd = Crowd(address(), connections);
            crowd.send(flood);
            expectUnharmed();
            EXPECT_EQ(RelayUnderTest::statusOf(address(), GetParam().m_target), okStatus);
        }
    };

    TEST_P(RelayOtherPortsTest, OutlivesTrailersWithoutEnd)
    {
        start();
        meetAtPort(fewConnections, floodOf(head(chunked) + "0\r\n", "x: 1\r\n", endlessBytes));
    }

    TEST_P(RelayOtherPortsTest, OutlivesBodiesWithoutEnd)
    {
        start();
        meetAtPort(fewConnections, floodOfChunks(head(chunked), largeChunk, endlessBytes));
    }

    TEST_P(RelayOtherPortsTest, OutlivesHeadsWithoutEnd)
    {
        start();
        meetAtPort(fewConnections, floodOf("GET / HTTP/1.1\r\n", "x: 1\r\n", endlessBytes));
    }

    TEST_P(RelayOtherPortsTest, OutlivesManyHeadsOfShortFieldsThatStopShort)
    {
        start();
        auto fields = std::string();
        while (fields.size() + 64 < maxHeaderBytes)
            fields += "a:\r\n";
        meetAtPort(2 * manyConnections, { "GET / HTTP/1.1\r\n", fields, 1 });
    }

    TEST_P(RelayOtherPortsTest, OutlivesMoreIdleConnectionsThanDescriptors)
    {
        start();
        meetAtPort(moreThanDescriptors, {});
    }

    INSTANTIATE_TEST_SUITE_P(Ports, RelayOtherPortsTest,
        testing::Values(OtherPort { "readiness", &RelayUnderTest::readinessAddress, "/readyz" },
            OtherPort {
                "directory", &RelayUnderTest::directoryAddress, "/resolve?name=h&region=r&zone=here" },
            OtherPort { "metrics", &RelayUnderTest::metricsAddress, "/metrics" }),
        [](const testing::TestParamInfo<OtherPort>& port) { return port.param.m_name; });

    // The port for peers takes messages of a stated length.
    class RelayPeerPortTest : public RelayHostileClientsTest {
    protected:
        // Returns the summary of a node that has just started.
        static auto summaryOf(const std::string& vm) -> std::string
        {
            auto datagram = relay::messages::DatagramT();
            auto summary = relay::messages::SummaryT();
            summary.vm = vm;
            summary.incarnation = 1;
            summary.number = 1;
            datagram.message.Set(std::move(summary));
            auto builder = flatbuffers::FlatBufferBuilder();
            builder.Finish(relay::messages::Datagram::Pack(builder, &datagram));
            return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
        }
    };

    TEST_F(RelayPeerPortTest, OutlivesMessagesThatStopShortOfAGreatLength)
    {
        start();
        const auto length = std::string("\x00\x00\x00\x04", 4); // 64 MB, in little-endian order.
        meet(m_relay->peerAddress(), fewConnections, floodOf(length, "x", endlessBytes));
    }

    TEST_F(RelayPeerPortTest, OutlivesMoreIdleConnectionsThanDescriptors)
    {
        start();
        meet(m_relay->peerAddress(), moreThanDescriptors, {});
    }

    // Anyone can say in a datagram that it is a node.
    TEST_F(RelayPeerPortTest, OutlivesSummariesOfManyNodesThatDoNotExist)
    {
        start();
        constexpr auto nodes = 4'000;
        constexpr auto nameBytes = std::size_t { 20'000 };
        const auto socket = DatagramSocket(m_relay->peerAddress());
        for (auto node = 0; node < nodes; ++node)
            socket.send(summaryOf(std::to_string(node) + std::string(nameBytes, 'x')));
        expectUnharmed();
    }

} // namespace
} // namespace marigoldladder::hostile
