#include "relay/listener.h"

#include "core/log.h"

namespace marigoldladder::relay {

auto openListener(net::ip::tcp::acceptor& acceptor, const Address& address) -> bool
{
    constexpr auto backlog = 1'024; // A full queue drops opening packets, which come again seconds later.
    auto error = ErrorCode();
    const auto endpoint = endpointOf(address);
    if (!endpoint) {
        logWarning("listen_failed", { { "address", formatAddress(address) }, { "reason", "no IP number" } });
        return false;
    }
    acceptor.open(endpoint->protocol(), error);
    if (!error)
        acceptor.set_option(net::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(*endpoint, error);
    if (!error)
        acceptor.listen(backlog, error);
    if (!error)
        return true;
    logWarning("listen_failed", { { "address", formatAddress(address) }, { "reason", error.message() } });
    return false;
}

} // namespace marigoldladder::relay
