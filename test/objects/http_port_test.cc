#include "objects/http_port.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace marigoldladder {
namespace {

    auto connectTo(int port) -> int
    {
        auto address = sockaddr_in();
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        const auto socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        (void)::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
        return socket;
    }

    auto isConnected(int socket) -> bool
    {
        auto peer = sockaddr_in();
        auto length = static_cast<socklen_t>(sizeof(peer));
        return ::getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &length) == 0;
    }

    TEST(HttpPortTest, TakesManyConnectionsBeforeTheFirstIsAccepted)
    {
        constexpr auto callers = 120;
        auto server = httplib::Server();
        const auto port = openHttpPort(server, { "127.0.0.1", 0 });
        ASSERT_TRUE(port.has_value());
        auto sockets = std::vector<int>();
        for (auto caller = 0; caller < callers; ++caller)
            sockets.push_back(connectTo(*port));
        auto connected = 0;
        for (const auto socket : sockets) {
            connected += isConnected(socket) ? 1 : 0;
            ::close(socket);
        }
        EXPECT_EQ(connected, callers) << "the rest would try again after a second";
    }

    TEST(HttpPortTest, SaysThatAPortCannotBeHad)
    {
        auto server = httplib::Server();
        EXPECT_FALSE(openHttpPort(server, { "192.0.2.1", 80 }).has_value()) << "no address of this machine";
    }

} // namespace
} // namespace marigoldladder
