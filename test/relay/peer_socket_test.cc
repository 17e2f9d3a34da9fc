#include "relay/peer_socket.h"

#include "relay/generated/peer_messages_generated.h"
#include "relay/peer_message.h"
#include "relay/relay_fixtures.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <stdexcept>

namespace marigoldladder::relay {
namespace {

    // Issue 44: after an exception in the handler the node received no datagram any more, without a line.
    TEST(PeerSocketTest, ADatagramWhoseHandlerThrowsHidesNoLaterOne)
    {
        constexpr auto maxTime = std::chrono::milliseconds(5'000);
        constexpr auto port = 7'100;
        auto context = net::io_context(1);
        auto metrics = Metrics();
        auto socket = PeerSocket(context.get_executor());
        const auto address = Address { loopbackHost(204), port };
        auto received = 0;
        const auto handle = [&](const messages::Datagram&, std::string_view, const Address&) {
            if (++received == 1)
                throw std::runtime_error("broken");
            context.stop();
        };
        ASSERT_TRUE(socket.open(address, metrics, handle));
        const auto datagram = encodeDatagram(messages::RefundT());
        socket.send(address, datagram);
        socket.send(address, datagram);
        context.run_for(maxTime);
        EXPECT_EQ(received, 2);
        EXPECT_EQ(metrics.value(Counter::InternalFailures), 1U);
    }

} // namespace
} // namespace marigoldladder::relay
