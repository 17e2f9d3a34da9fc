#include "wire/socket.h"

#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    constexpr auto connectTime = std::chrono::milliseconds(2'000);

    // Issue 43: a connection that a node had closed first kept its port for a minute, so that a node whose
    // port it was didn't start.
    TEST(SocketTest, LeavesItsPortToAListenerOnceItIsClosed)
    {
        const auto server = listenOn({ "127.0.0.1", 0 });
        auto connection = connectTo(boundAddress(server.value()), connectTime);
        auto accepted = acceptFrom(server.value());
        const auto local = boundAddress(connection.value());
        connection.value() = Socket();
        accepted = Socket();
        EXPECT_TRUE(listenOn(local));
    }

} // namespace
} // namespace marigoldladder
