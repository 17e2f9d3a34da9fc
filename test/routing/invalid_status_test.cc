// Upstreams in trouble that answer with a status that is none, such as 000.
#include "routing/upstream_client.h"

#include <arpa/inet.h>
#include <array>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace marigoldladder {
namespace {

    // Takes one connection, reads once and sends the bytes given.
    class OneAnswerServer {
    public:
        explicit OneAnswerServer(std::string answer)
            : m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
        {
            auto address = sockaddr_in();
            auto length = socklen_t { sizeof(address) };
            address.sin_family = AF_INET;
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            auto* const plain = reinterpret_cast<sockaddr*>(&address);
            EXPECT_EQ(::bind(m_listener, plain, length), 0);
            EXPECT_EQ(::listen(m_listener, 1), 0);
            EXPECT_EQ(::getsockname(m_listener, plain, &length), 0);
            m_port = ntohs(address.sin_port);
            m_thread = std::thread([this, answer = std::move(answer)] { serve(answer); });
        }
        ~OneAnswerServer()
        {
            m_thread.join();
            ::close(m_listener);
        }
        OneAnswerServer(const OneAnswerServer&) = delete;
        auto operator=(const OneAnswerServer&) -> OneAnswerServer& = delete;

        auto port() const -> int { return m_port; }

    private:
        auto serve(const std::string& answer) const -> void
        {
            const auto connection = ::accept(m_listener, nullptr, nullptr);
            auto request = std::array<char, 4'096> {};
            EXPECT_GT(::recv(connection, request.data(), request.size(), 0), 0);
            EXPECT_EQ(::send(connection, answer.data(), answer.size(), MSG_NOSIGNAL),
                static_cast<ssize_t>(answer.size()));
            ::close(connection);
        }

        int m_listener;
        int m_port = 0;
        std::thread m_thread;
    };

    class InvalidStatusTest : public testing::TestWithParam<const char*> { };

    TEST_P(InvalidStatusTest, IsNoAnswerToACaller)
    {
        const auto inner = std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno");
        const auto server = OneAnswerServer("HTTP/1.1 " + std::string(GetParam())
            + " Odd\r\nContent-Length: " + std::to_string(inner.size()) + "\r\n\r\n" + inner + inner);
        auto upstream = Upstream();
        upstream.m_address = { "127.0.0.1", server.port() };
        auto call = ServeCall();
        call.m_method = "POST";
        call.m_path = "/book";
        call.m_deadline = std::chrono::milliseconds(2'000);
        auto parts = 0;
        auto metrics = Metrics();
        auto control = CallControl();
        const auto end = runCall(upstream, call, control, metrics, [&](const auto& /*part*/) { ++parts; });
        EXPECT_EQ(parts, 0) << "expected nothing for the caller";
        EXPECT_FALSE(end.m_end.m_completed);
        EXPECT_EQ(end.m_end.m_failure.m_verdict, Verdict::MayHaveRun);
    }

    INSTANTIATE_TEST_SUITE_P(
        Statuses, InvalidStatusTest, testing::Values("000", "099", "101", "103", "600", "999"));

} // namespace
} // namespace marigoldladder
