#include "relay/listener.h"

#include "relay/relay_fixtures.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <stdexcept>
#include <sys/socket.h>

namespace marigoldladder::relay {
namespace {

    constexpr auto hostNumber = 205;
    constexpr auto maxTime = std::chrono::milliseconds(5'000);

    class ListenerTest : public testing::Test {
    protected:
        using Serve = std::function<Awaitable<void>(net::ip::tcp::socket)>;

        auto listen(const Serve& serve) -> void
        {
            while (!serveConnections(m_acceptor, address(), m_metrics, serve))
                ++m_port; // Another test process of the same number may have it.
        }

        auto address() const -> Address { return { loopbackHost(hostNumber), m_port }; }

        auto failures() const -> std::uint64_t { return m_metrics.value(Counter::InternalFailures); }

        // Connects, and returns what the connection brings until it ends or the time is over.
        auto receive() -> std::string
        {
            auto socket = net::ip::tcp::socket(m_context);
            socket.connect(*endpointOf(address()));
            auto text = std::string();
            auto ended = false;
            socket.async_receive(net::buffer(m_received), [&](ErrorCode /*error*/, std::size_t length) {
                text.assign(m_received.data(), length);
                ended = true;
            });
            const auto until = std::chrono::steady_clock::now() + maxTime;
            while (!ended && std::chrono::steady_clock::now() < until)
                m_context.run_one_for(maxTime);
            if (!ended)
                text = "no answer";
            socket.close();
            m_context.poll();
            return text;
        }

        static auto sendText(net::ip::tcp::socket socket) -> Awaitable<void>
        {
            auto error = ErrorCode();
            co_await net::async_write(socket, net::buffer(std::string_view("served")), errorTo(error));
        }

        static auto fail(net::ip::tcp::socket /*socket*/) -> Awaitable<void>
        {
            throw std::runtime_error("broken");
            co_return;
        }

        net::io_context m_context { 1 };
        Metrics m_metrics;
        net::ip::tcp::acceptor m_acceptor { m_context };
        std::array<char, 64> m_received {};
        int m_port = 7'100;
        int m_connections = 0;
    };

    // Issue 44: the kernel went on to accept connections that nobody read.
    TEST_F(ListenerTest, AConnectionThatCannotBeServedHidesNoLaterOne)
    {
        listen([this](net::ip::tcp::socket socket) {
            if (++m_connections == 1)
                throw std::runtime_error("broken");
            return sendText(std::move(socket));
        });
        EXPECT_EQ(receive(), "");
        EXPECT_EQ(receive(), "served");
        EXPECT_EQ(failures(), 1U);
    }

    // Issue 47: an accept that failed for good was tried again each 50 ms, while callers were refused.
    TEST_F(ListenerTest, APortThatWasClosedFromOutsideIsOpenedAgain)
    {
        listen(sendText);
        EXPECT_EQ(receive(), "served");
        ASSERT_EQ(::shutdown(m_acceptor.native_handle(), SHUT_RDWR), 0);
        m_context.run_for(std::chrono::milliseconds(500));
        EXPECT_EQ(receive(), "served");
    }

    TEST_F(ListenerTest, AnExceptionThatEndsAConnectionIsCounted)
    {
        listen([this](net::ip::tcp::socket socket) {
            return ++m_connections == 1 ? fail(std::move(socket)) : sendText(std::move(socket));
        });
        EXPECT_EQ(receive(), "");
        EXPECT_EQ(receive(), "served");
        EXPECT_EQ(failures(), 1U);
    }

    // It was tried again every 50 ms, for ever.
    TEST_F(ListenerTest, AcceptingEndsWhenItsSocketIsClosedUnderIt)
    {
        listen([this](net::ip::tcp::socket socket) {
            m_acceptor.close();
            return sendText(std::move(socket));
        });
        EXPECT_EQ(receive(), "served");
        m_context.run_for(maxTime);
        EXPECT_TRUE(m_context.stopped()) << "expected nothing left to run";
    }

} // namespace
} // namespace marigoldladder::relay
