#include "relay/peer_socket.h"

#include "core/log.h"
#include "relay/generated/peer_messages_generated.h"

namespace marigoldladder::relay {

namespace {

    constexpr auto receiveRetryDelay = std::chrono::milliseconds(50);

    auto udpEndpointOf(const Address& address, ErrorCode& error) -> net::ip::udp::endpoint
    {
        const auto ip = net::ip::make_address(address.m_host, error);
        return { ip, static_cast<unsigned short>(address.m_port) };
    }

} // namespace

PeerSocket::PeerSocket(Executor executor)
    : m_executor(std::move(executor))
    , m_socket(m_executor)
{
}

auto PeerSocket::open(const Address& address, Metrics& metrics, Handler handler) -> bool
{
    m_handler = std::move(handler);
    auto error = ErrorCode();
    const auto endpoint = udpEndpointOf(address, error);
    if (!error)
        m_socket.open(endpoint.protocol(), error);
    if (!error)
        m_socket.bind(endpoint, error);
    if (!error)
        m_socket.non_blocking(true, error);
    if (error) {
        auto ignored = ErrorCode();
        m_socket.close(ignored); // So that it can be opened again.
        logWarning(
            "peer_port_failed", { { "address", formatAddress(address) }, { "reason", error.message() } });
        return false;
    }
    runLoop(m_executor, "datagrams", metrics, [this] { return receive(); });
    return true;
}

auto PeerSocket::send(const Address& address, const std::string& datagram) -> void
{
    auto error = ErrorCode();
    const auto endpoint = udpEndpointOf(address, error);
    if (error)
        return;
    // A send error is ignored: any datagram may be lost, and a later one contains newer state.
    m_socket.send_to(net::buffer(datagram), endpoint, 0, error);
}

auto PeerSocket::receive() -> Awaitable<void>
{
    for (;;) {
        auto error = ErrorCode();
        auto from = net::ip::udp::endpoint();
        const auto length
            = co_await m_socket.async_receive_from(net::buffer(m_received), from, errorTo(error));
        if (error == net::error::operation_aborted || !m_socket.is_open()) {
            logWarning("receive_ended", { { "reason", error.message() } });
            co_return;
        }
        if (error) {
            logWarning("receive_failed", { { "reason", error.message() } });
            co_await sleepFor(receiveRetryDelay);
            continue;
        }
        const auto* data = reinterpret_cast<const std::uint8_t*>(m_received.data());
        auto verifier = flatbuffers::Verifier(data, length);
        if (messages::VerifyDatagramBuffer(verifier))
            m_handler(*messages::GetDatagram(data), std::string_view(m_received.data(), length),
                Address { from.address().to_string(), from.port() });
    }
}

} // namespace marigoldladder::relay
