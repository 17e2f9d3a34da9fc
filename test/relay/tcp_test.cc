#include "relay/tcp.h"

#include "relay/listener.h"
#include "relay/relay_fixtures.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <thread>

namespace marigoldladder::relay {
namespace {

    constexpr auto connectTime = Milliseconds(2'000);

    // Whether connections besides one have a port, such as closed ones of other processes: the kernel gives a
    // port to several connections as long as they go to different servers.
    auto hasOtherConnections(int port) -> bool
    {
        auto table = std::ifstream("/proc/net/tcp");
        auto count = 0;
        for (auto line = std::string(); std::getline(table, line);) {
            auto fields = std::istringstream(line);
            auto number = std::string();
            auto local = std::string();
            fields >> number >> local;
            const auto colon = local.find(':');
            if (colon != std::string::npos && std::stoi(local.substr(colon + 1), nullptr, 16) == port)
                ++count;
        }
        return count > 1;
    }

    // A connection of this process to a server of its own, from a port that no other connection has.
    class OutgoingConnectionTest : public testing::Test {
    protected:
        OutgoingConnectionTest()
            : m_server(m_context, { net::ip::make_address(loopbackHost(9)), 0 })
            , m_stream(m_context.get_executor())
        {
            constexpr auto attempts = 1'000;
            connect();
            for (auto attempt = 1; attempt < attempts && hasOtherConnections(m_local.m_port); ++attempt) {
                m_stream.close();
                connect();
            }
            EXPECT_FALSE(hasOtherConnections(m_local.m_port)) << "the port is " << m_local.m_port;
        }

        auto connect() -> void
        {
            const auto endpoint = m_server.local_endpoint();
            const auto server = Address { endpoint.address().to_string(), endpoint.port() };
            auto error = ErrorCode();
            auto connect
                = [&]() -> Awaitable<void> { co_await connectTo(m_stream, server, connectTime, error); };
            m_context.restart();
            net::co_spawn(m_context, connect(), net::detached);
            m_context.run_for(connectTime); // The kernel accepts it.
            m_accepted = std::make_unique<net::ip::tcp::socket>(m_server.accept());
            EXPECT_FALSE(error) << error.message();
            const auto local = m_stream.socket().local_endpoint();
            m_local = { local.address().to_string(), local.port() };
        }

        net::io_context m_context { 1 };
        net::ip::tcp::acceptor m_server;
        tcp_stream m_stream;
        std::unique_ptr<net::ip::tcp::socket> m_accepted;
        Address m_local; // The connection's end in this process.
    };

    // Issue 43: a connection that a node had closed first kept its port for a minute, so that a node whose
    // port it was didn't start.
    TEST_F(OutgoingConnectionTest, LeavesItsPortToAListenerOnceItIsClosed)
    {
        m_stream.close();
        m_accepted->close();
        auto listener = net::ip::tcp::acceptor(m_context);
        EXPECT_TRUE(openListener(listener, m_local));
    }

    TEST_F(OutgoingConnectionTest, LeavesItsPortToAListenerWhileItIsOpen)
    {
        auto listener = net::ip::tcp::acceptor(m_context);
        EXPECT_TRUE(openListener(listener, m_local));
    }

    // A look at what has arrived took the connection's error. The read after it found an end, by which an
    // answer without framing seemed whole.
    TEST_F(OutgoingConnectionTest, TellsABreakFromAnEndThoughItWasLookedAtBefore)
    {
        resetOnClose(*m_accepted);
        m_accepted->close();
        std::this_thread::sleep_for(Milliseconds(20));
        EXPECT_FALSE(isIdle(m_stream.socket()));
        EXPECT_TRUE(isClosed(m_stream.socket()));
        auto error = ErrorCode();
        auto byte = std::array<char, 1>();
        (void)m_stream.socket().read_some(net::buffer(byte), error);
        EXPECT_EQ(error, net::error::connection_reset) << error.message();
    }

    // Returns the first of so many connects that succeeds although nobody listens, or 0.
    auto firstThatSucceeds(tcp_stream& stream, const Address& unused, int connects) -> Awaitable<int>
    {
        for (auto number = 1; number <= connects; ++number) {
            auto error = ErrorCode();
            co_await connectTo(stream, unused, connectTime, error);
            if (!error)
                co_return number;
            stream.close();
        }
        co_return 0;
    }

    // Issue 43: the kernel takes the ports of outgoing connections in turn. When it came to the port that was
    // called, the connection was one to itself, and the request sent over it came back as its answer.
    TEST(ConnectTest, RefusesAPortWithoutAListenerAlsoWhenItsOwnPortIsTheSame)
    {
        constexpr auto connects = 60'000; // More than twice as many as there are ports to connect from.
        const auto host = net::ip::make_address("127.0.0.1"); // The source of all loopback connections.
        auto context = net::io_context(1);
        auto server = net::ip::tcp::acceptor(context, { host, 0 });
        auto probe = net::ip::tcp::socket(context);
        probe.connect(server.local_endpoint()); // Its port is one that the kernel gives out.
        const auto unused = Address { host.to_string(), probe.local_endpoint().port() };
        auto accepted = server.accept();
        accepted.close(); // So that the port is held at the server's side only.
        probe.close();
        server.close();
        auto stream = tcp_stream(context.get_executor());
        auto first = -1;
        net::co_spawn(context, firstThatSucceeds(stream, unused, connects),
            [&](const std::exception_ptr&, int number) { first = number; });
        context.run();
        EXPECT_EQ(first, 0) << "the port is " << unused.m_port;
    }

} // namespace
} // namespace marigoldladder::relay
