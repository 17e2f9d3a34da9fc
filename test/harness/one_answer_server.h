// A server that gives one answer, as it is told, whatever it is asked.
#pragma once

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <chrono>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace marigoldladder {

struct OneAnswer {
    std::string m_bytes;
    std::string m_endless {}; // Sent behind it, again and again until the connection ends.
    bool m_resets = false; // In place of a close, with what remains of the request unread.
    std::chrono::milliseconds m_pause { 0 }; // Before each repetition.
};

// Returns a whole answer of status 200 with this body.
inline auto answerWithBody(const std::string& body) -> OneAnswer
{
    return { "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body };
}

// Takes one connection, reads once and sends the answer.
class OneAnswerServer {
public:
    explicit OneAnswerServer(OneAnswer answer)
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
        m_stops = true;
        m_thread.join();
        ::close(m_listener);
    }
    OneAnswerServer(const OneAnswerServer&) = delete;
    auto operator=(const OneAnswerServer&) -> OneAnswerServer& = delete;

    auto port() const -> int { return m_port; }

private:
    static auto send(int connection, const std::string& bytes) -> bool
    {
        return ::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL)
            == static_cast<ssize_t>(bytes.size());
    }

    auto serve(const OneAnswer& answer) const -> void
    {
        const auto connection = ::accept(m_listener, nullptr, nullptr);
        auto request = std::array<char, 4'096> {};
        EXPECT_GT(::recv(connection, request.data(), request.size(), 0), 0);
        EXPECT_TRUE(send(connection, answer.m_bytes));
        while (!answer.m_endless.empty() && !m_stops && send(connection, answer.m_endless))
            std::this_thread::sleep_for(answer.m_pause);
        if (answer.m_resets) {
            const auto atOnce = linger { 1, 0 };
            ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
        }
        ::close(connection);
    }

    int m_listener;
    int m_port = 0;
    std::atomic<bool> m_stops { false };
    std::thread m_thread;
};

} // namespace marigoldladder
