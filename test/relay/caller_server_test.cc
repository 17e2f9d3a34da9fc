#include "relay/caller_server.h"

#include "relay/endless_sender.h"
#include "relay/relay_fixtures.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    constexpr auto port = 28'612;
    constexpr auto maxSteps = 10'000; // Of the event loop, for one answer.
    constexpr auto stepTime = Milliseconds(10); // Longest wait for a step.
    constexpr auto request = std::string_view("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");

    auto testDialect() -> Dialect
    {
        auto dialect = Dialect();
        dialect.m_readRequest = [](const HeaderFields&) { return CallerRequest(); };
        return dialect;
    }

    // A server without a configuration, which refuses each request with an answer.
    struct Node {
        Node()
            : m_dialect(testDialect())
            , m_socket(m_context.get_executor())
            , m_allowances(m_context.get_executor(), m_settings, m_board, m_socket, Incarnation { 77 })
            , m_waitList(m_context.get_executor(), m_board, m_settings)
            , m_connector(m_context.get_executor(), m_settings, m_board)
            , m_connections(m_context.get_executor(), m_board, m_connector)
            , m_upstreamCaller(m_connections, m_dialect, m_board)
            , m_crashWatch(m_context.get_executor(), m_settings, m_board, m_connector)
            , m_requestLimits(m_context.get_executor(), m_settings, m_board, m_socket, Incarnation { 77 })
            , m_rooms(m_context.get_executor(), m_settings, m_board, m_socket, Incarnation { 77 })
            , m_software(m_context.get_executor(), m_settings, m_board, m_store)
            , m_origins(m_context.get_executor(), m_board, m_socket, m_software, Incarnation { 77 })
            , m_runner(m_context.get_executor(), m_settings, m_board, m_allowances, m_waitList,
                  m_requestLimits, m_rooms, m_origins, m_upstreamCaller, m_crashWatch, m_dialect)
            , m_server(m_context.get_executor(), capacityOf(m_settings), m_board, m_runner, m_waitList)
        {
        }

        net::io_context m_context { 1 };
        RelaySettings m_settings;
        RelayBoard m_board;
        Dialect m_dialect;
        PeerSocket m_socket;
        AllowanceExchange m_allowances;
        WaitList m_waitList;
        UpstreamConnector m_connector;
        UpstreamConnectionPool m_connections;
        UpstreamCaller m_upstreamCaller;
        CrashWatch m_crashWatch;
        RequestLimitExchange m_requestLimits;
        RoomExchange m_rooms;
        ObjectStore m_store; // Not called.
        SoftwareWatch m_software;
        StreamOriginExchange m_origins;
        RequestRunner m_runner;
        CallerServer m_server;
    };

    class CallerServerTest : public testing::Test {
    protected:
        CallerServerTest()
            : m_address { loopbackHost(nextHost()), port }
            , m_node(*new Node()) // NOLINT(cppcoreguidelines-owning-memory): see the member.
            , m_caller(m_callerContext)
        {
            EXPECT_TRUE(m_node.m_server.listen(m_address));
            m_caller.connect(*endpointOf(m_address));
            m_caller.non_blocking(true);
        }

        auto write(std::string_view bytes) -> void { net::write(m_caller, net::buffer(bytes)); }

        // Runs the event loop one step at a time until the caller received an answer or a close, and calls
        // the function before each step.
        auto runUntilAnswered(const std::function<void()>& beforeStep) -> std::string
        {
            auto answer = std::string();
            auto buffer = std::array<char, 4'096>();
            for (auto step = 0; step < maxSteps && answer.find("\r\n\r\n") == std::string::npos; ++step) {
                beforeStep();
                m_node.m_context.poll_one();
                auto error = ErrorCode();
                const auto length = m_caller.read_some(net::buffer(buffer), error);
                answer.append(buffer.data(), length);
                if (error && error != net::error::would_block)
                    break;
            }
            return answer;
        }

        // Runs the event loop until the server closes the sender's connection. Returns false if it doesn't
        // within `bound`.
        auto runUntilEnded(const EndlessSender& sender, Milliseconds bound) -> bool
        {
            const auto until = std::chrono::steady_clock::now() + bound;
            while (!sender.ended() && std::chrono::steady_clock::now() < until)
                m_node.m_context.run_one_for(stepTime);
            return sender.ended();
        }

        // Nodes are never destroyed, so each has an address of its own. No other fixture uses these.
        static auto nextHost() -> int
        {
            static auto number = 200;
            return ++number;
        }

        net::io_context m_callerContext { 1 };
        Address m_address;
        Node& m_node; // Never destroyed, as suspended coroutines may refer to its members.
        net::ip::tcp::socket m_caller;
    };

    TEST_F(CallerServerTest, ARequestThatArrivesWhileIdleConnectionsAreClosedIsAnswered)
    {
        write(request);
        const auto answer = runUntilAnswered([&] { m_node.m_server.closeIdle(); });
        EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 503") << "expected a refusal, got '" << answer << "'";
    }

    // The session logs the route of a request that failed inside the node.
    TEST_F(CallerServerTest, ARouteIsKeptForAsLongAsTheStateOfItsRequest)
    {
        auto route = Route();
        route.m_pathPrefix = "/";
        route.m_timeout = Milliseconds(100);
        route.m_pools = { { PoolName("none"), 1 } };
        auto configuration = std::make_shared<RoutingConfiguration>();
        configuration->m_routesByHost[""] = { route };
        const auto replaced = std::weak_ptr(configuration);
        m_node.m_board.m_configuration = std::move(configuration);
        auto state = CallState();
        state.m_message.target("/x");
        state.m_arrivedAt = std::chrono::steady_clock::now();
        auto stream = tcp_stream(m_node.m_context.get_executor());
        auto answer = CallerAnswer(stream, {});
        auto ended = false;
        net::co_spawn(m_node.m_context, m_node.m_runner.run(state, answer),
            [&](const std::exception_ptr& /*exception*/) { ended = true; });
        for (auto step = 0; step < maxSteps && !ended; ++step) {
            m_node.m_context.run_one_for(stepTime);
            if (state.m_route)
                m_node.m_board.m_configuration = nullptr;
        }
        ASSERT_TRUE(ended);
        ASSERT_NE(state.m_route, nullptr);
        EXPECT_FALSE(replaced.expired());
    }

    // No read waited while bytes were always there, so the time for the body never ended.
    TEST_F(CallerServerTest, ABodyWithoutEndIsRefusedWhenItsTimeIsUp)
    {
        auto configuration = std::make_shared<RoutingConfiguration>();
        configuration->m_callerBounds.m_bodyTimeout = Milliseconds(200);
        m_node.m_board.m_configuration = std::move(configuration);
        const auto sender
            = EndlessSender(m_address, "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
                "1;note=" + std::string(3'000, 'x') + "\r\nx\r\n");
        EXPECT_TRUE(runUntilEnded(sender, Milliseconds(2'000)));
    }

    // The same for the time in which a caller may read its last answer.
    TEST_F(CallerServerTest, ACallerThatSendsWithoutEndAfterItsLastAnswerIsClosed)
    {
        const auto sender = EndlessSender(m_address, "no request\r\n\r\n", std::string(16'000, 'x'));
        EXPECT_TRUE(runUntilEnded(sender, Milliseconds(2'000)));
    }

    TEST_F(CallerServerTest, AnIdleConnectionIsClosed)
    {
        for (auto step = 0; step < 100; ++step)
            m_node.m_context.poll_one();
        ASSERT_EQ(m_node.m_server.connections(), 1U);
        EXPECT_EQ(runUntilAnswered([&] { m_node.m_server.closeIdle(); }), "");
        EXPECT_EQ(m_node.m_server.connections(), 0U);
    }

} // namespace
} // namespace marigoldladder::relay
