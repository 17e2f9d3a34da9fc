// A node that stops while requests are under way: each caller gets an answer before the process exits.
#include "platform/relay_path_fixture.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <csignal>
#include <future>
#include <thread>

namespace marigoldladder::platform {
namespace {

    using std::chrono::milliseconds;

    // From the stop signal until a request is sent that keeps the node from exiting early.
    constexpr auto firstArrival = milliseconds(1'000);
    // Until the request is sent after it: the node still accepts it, and exits before its deadline.
    constexpr auto lateArrival = milliseconds(4'000);
    constexpr auto requestTime = milliseconds(4'500);

    // In which a node without requests stops.
    constexpr auto idleStop = milliseconds(4'000);

    auto takesConnections(const Address& address) -> bool
    {
        auto context = boost::asio::io_context(1);
        auto socket = boost::asio::ip::tcp::socket(context);
        auto error = boost::system::error_code();
        const auto host = boost::asio::ip::make_address(address.m_host);
        socket.connect({ host, static_cast<std::uint16_t>(address.m_port) }, error);
        return !error;
    }

    class StoppingNodeTest : public RelayPathTest {
    protected:
        auto SetUp() -> void override
        {
            addUpstream("i-1", [](const UpstreamRequest&) { return UpstreamReply {}; });
            auto configuration = testConfiguration(1);
            for (auto& route : configuration["routes"])
                route["timeout_ms"] = requestTime.count();
            m_relay.put("config", "main", configuration);
            ASSERT_TRUE(m_relay.eventually([&] { return m_relay.readiness() == 200; }));
        }

        // Stops the node and sends it a request that no upstream answers.
        auto sendWhileStopping(const std::string& method, const std::string& path) -> CallerReply
        {
            std::raise(SIGTERM);
            std::this_thread::sleep_for(firstArrival);
            const auto first
                = std::async(std::launch::async, [&] { return m_relay.send(request(method, path)); });
            std::this_thread::sleep_for(lateArrival - firstArrival);
            return m_relay.send(request(method, path));
        }

    private:
        static auto request(const std::string& method, const std::string& path) -> std::string
        {
            auto bytes = callerRequest(method, path, "", method == "POST" ? "go" : "");
            const auto deadline = std::string("Deadline-Ms: 3000");
            bytes.replace(
                bytes.find(deadline), deadline.size(), "Deadline-Ms: " + std::to_string(requestTime.count()));
            return bytes;
        }
    };

    TEST_F(StoppingNodeTest, AnUnsafeRequestThatWasSentToAnUpstreamGetsAnAnswerBeforeTheExit)
    {
        const auto reply = sendWhileStopping("POST", "/charge/x");
        EXPECT_GE(reply.m_status, 502) << "expected an answer that says that the request may have run";
        EXPECT_TRUE(reply.m_complete);
    }

    TEST_F(StoppingNodeTest, AnIdempotentRequestThatWasSentToAnUpstreamGetsAnAnswerBeforeTheExit)
    {
        const auto reply = sendWhileStopping("GET", "/plain/x");
        EXPECT_GE(reply.m_status, 502) << "expected an answer that says that the request may have run";
        EXPECT_TRUE(reply.m_complete);
    }

    // The kernel may take hundreds of milliseconds to end a process: meanwhile it took connections for the
    // node, whose callers waited for nothing.
    TEST_F(StoppingNodeTest, TakesNoConnectionAnyMoreOnceItHasStopped)
    {
        std::raise(SIGTERM);
        std::this_thread::sleep_for(idleStop);
        for (const auto& address : m_relay.listeningAddresses())
            EXPECT_FALSE(takesConnections(address)) << formatAddress(address);
    }

} // namespace
} // namespace marigoldladder::platform
