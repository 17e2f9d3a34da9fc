#include "relay/http_client.h"

#include "relay/relay_fixtures.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    constexpr auto hostNumber = 202; // No other fixture uses it.
    constexpr auto maxRunTime = std::chrono::seconds(5);

    class HttpClientTest : public testing::Test {
    protected:
        // Has the server answer each call on any connection with the next of these.
        auto serve(std::vector<std::string> answers) -> void
        {
            net::co_spawn(m_context, answerCalls(std::move(answers)), net::detached);
        }

        // Has the server answer the first call by these bytes, and then by the others again and again.
        auto serveEndlessly(std::string begin, std::string repeated) -> void
        {
            net::co_spawn(m_context, answerEndlessly(std::move(begin), std::move(repeated)), net::detached);
        }

        auto call(HttpCall request = {}) -> std::optional<HttpReply>
        {
            auto reply = std::optional<HttpReply>();
            auto ended = false;
            net::co_spawn(
                m_context,
                [&]() -> Awaitable<void> {
                    auto result = co_await m_client.call(std::move(request));
                    if (result)
                        reply = std::move(result.value());
                    ended = true;
                },
                net::detached);
            const auto until = std::chrono::steady_clock::now() + maxRunTime;
            while (!ended && std::chrono::steady_clock::now() < until)
                m_context.run_one_for(std::chrono::milliseconds(100));
            EXPECT_TRUE(ended);
            return reply;
        }

        int m_connections = 0;

    private:
        auto answerCalls(std::vector<std::string> answers) -> Awaitable<void>
        {
            auto next = std::size_t { 0 };
            while (next < answers.size()) {
                auto socket = co_await m_acceptor.async_accept(net::use_awaitable);
                ++m_connections;
                auto error = ErrorCode();
                auto request = std::array<char, 4'096>();
                while (!error && next < answers.size()) {
                    (void)co_await socket.async_read_some(net::buffer(request), errorTo(error));
                    if (!error)
                        co_await net::async_write(socket, net::buffer(answers[next++]), errorTo(error));
                }
                m_sockets.push_back(std::move(socket));
            }
        }

        auto answerEndlessly(std::string begin, std::string repeated) -> Awaitable<void>
        {
            auto socket = co_await m_acceptor.async_accept(net::use_awaitable);
            auto error = ErrorCode();
            co_await net::async_write(socket, net::buffer(begin), errorTo(error));
            while (!error)
                co_await net::async_write(socket, net::buffer(repeated), errorTo(error));
        }

        net::io_context m_context { 1 };
        net::ip::tcp::acceptor m_acceptor { m_context,
            net::ip::tcp::endpoint(net::ip::make_address(loopbackHost(hostNumber)), 0) };
        std::vector<net::ip::tcp::socket> m_sockets;
        HttpClient m_client { m_context.get_executor(),
            Address { loopbackHost(hostNumber), m_acceptor.local_endpoint().port() } };
    };

    constexpr auto soundAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";

    TEST_F(HttpClientTest, AnInterimAnswerIsPassedOver)
    {
        serve({ std::string("HTTP/1.1 103 Early Hints\r\n\r\n") + soundAnswer });
        const auto reply = call();
        ASSERT_TRUE(reply);
        EXPECT_EQ(reply->m_status, 200U);
        EXPECT_EQ(reply->m_body, "sound");
    }

    TEST_F(HttpClientTest, AnInvalidStatusIsNoReplyAndNothingBehindItIsRead)
    {
        for (const auto* status : { "000", "099", "101", "600", "999" }) {
            serve({ "HTTP/1.1 " + std::string(status) + " Odd\r\nContent-Length: 0\r\n\r\n" + soundAnswer });
            EXPECT_FALSE(call()) << status;
        }
        EXPECT_EQ(m_connections, 5) << "expected each call on a connection of its own";
    }

    TEST_F(HttpClientTest, ABodyLargerThanTheCallAllowsIsNoReply)
    {
        constexpr auto bodyBytes = std::size_t { 5 }; // Of the sound answer.
        serve({ soundAnswer });
        auto request = HttpCall();
        request.m_maxReplyBytes = bodyBytes - 1;
        EXPECT_FALSE(call(std::move(request)));
        serve({ soundAnswer });
        request = HttpCall();
        request.m_maxReplyBytes = bodyBytes;
        EXPECT_TRUE(call(std::move(request)));
    }

    // Of reports, orders and the store: no read waited while bytes were always there, so none timed out.
    TEST_F(HttpClientTest, AnAnswerWithoutEndIsNoReplyAtItsTimeout)
    {
        constexpr auto timeout = std::chrono::milliseconds(300);
        constexpr auto slack = std::chrono::milliseconds(500);
        serveEndlessly("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "1;note=" + std::string(3'000, 'x') + "\r\nx\r\n");
        const auto begun = std::chrono::steady_clock::now();
        auto request = HttpCall();
        request.m_timeout = timeout;
        EXPECT_FALSE(call(std::move(request)));
        EXPECT_LT(std::chrono::steady_clock::now() - begun, timeout + slack);
    }

} // namespace
} // namespace marigoldladder::relay
