#include "objects/http_port.h"

#include <sys/socket.h>

namespace marigoldladder {

namespace {

    // The library lets five connections wait to be accepted; what comes beyond is sent again after a second,
    // or believes that it is connected and gets no answer.
    constexpr auto waitingConnections = 512;

} // namespace

auto openHttpPort(httplib::Server& server, const Address& address) -> std::optional<int>
{
    auto listener = socket_t { -1 };
    server.set_socket_options([&listener](socket_t socket) {
        httplib::default_socket_options(socket);
        listener = socket;
    });
    auto port = address.m_port;
    auto bound = true;
    if (port == 0)
        port = server.bind_to_any_port(address.m_host);
    else
        bound = server.bind_to_port(address.m_host, port);
    server.set_socket_options(httplib::default_socket_options);
    if (!bound || port <= 0 || ::listen(listener, waitingConnections) != 0)
        return std::nullopt;
    return port;
}

} // namespace marigoldladder
