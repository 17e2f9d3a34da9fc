#include "relay/listener.h"

#include "core/log.h"

#include <sys/socket.h>

namespace marigoldladder::relay {

namespace {

    constexpr auto acceptRetryDelay
        = std::chrono::milliseconds(50); // Open connections may end and free descriptors meanwhile.

    // Whether the socket no longer listens: it may be shut down from outside the process.
    auto isShutDown(net::ip::tcp::acceptor& acceptor) -> bool
    {
        auto listens = 0;
        auto length = socklen_t { sizeof(listens) };
        const auto handle = acceptor.native_handle();
        return ::getsockopt(handle, SOL_SOCKET, SO_ACCEPTCONN, &listens, &length) == 0 && listens == 0;
    }

    auto reopenListener(net::ip::tcp::acceptor& acceptor, Address address) -> Awaitable<void>
    {
        closeListener(acceptor);
        while (!openListener(acceptor, address))
            co_await sleepFor(acceptRetryDelay);
        logChange("listener_reopened", { { "address", formatAddress(address) } });
    }

} // namespace

auto openListener(net::ip::tcp::acceptor& acceptor, const Address& address) -> bool
{
    constexpr auto backlog = 1'024; // A full queue drops SYN packets, which are resent seconds later.
    auto error = ErrorCode();
    const auto endpoint = endpointOf(address);
    if (!endpoint) {
        logWarning("listen_failed",
            { { "address", formatAddress(address) }, { "reason", "host is not an IP address" } });
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
    closeListener(acceptor); // So that it can be opened again.
    logWarning("listen_failed", { { "address", formatAddress(address) }, { "reason", error.message() } });
    return false;
}

auto closeListener(net::ip::tcp::acceptor& acceptor) -> void
{
    auto ignored = ErrorCode();
    acceptor.close(ignored);
}

auto acceptConnections(net::ip::tcp::acceptor& acceptor, std::function<void(net::ip::tcp::socket)> serve)
    -> Awaitable<void>
{
    auto ignored = ErrorCode();
    const auto endpoint = acceptor.local_endpoint(ignored);
    const auto address = Address { endpoint.address().to_string(), endpoint.port() };
    for (;;) {
        auto error = ErrorCode();
        auto socket = co_await acceptor.async_accept(errorTo(error));
        if (error == net::error::operation_aborted || !acceptor.is_open()) {
            logWarning(
                "accept_ended", { { "address", formatAddress(address) }, { "reason", error.message() } });
            co_return;
        }
        if (!error) {
            serve(std::move(socket));
            continue;
        }
        logWarning("accept_failed", { { "reason", error.message() } });
        if (isShutDown(acceptor))
            co_await reopenListener(acceptor, address);
        else
            co_await sleepFor(acceptRetryDelay);
    }
}

auto serveConnections(net::ip::tcp::acceptor& acceptor, const Address& address, Metrics& metrics,
    std::function<Awaitable<void>(net::ip::tcp::socket)> serve) -> bool
{
    if (!openListener(acceptor, address))
        return false;
    const auto executor = acceptor.get_executor();
    auto startServing = [executor, &metrics, serve = std::move(serve)](net::ip::tcp::socket socket) {
        runTask(executor, "connection", metrics, serve(std::move(socket)));
    };
    runLoop(executor, "accept " + formatAddress(address), metrics,
        [&acceptor, startServing] { return acceptConnections(acceptor, startServing); });
    return true;
}

} // namespace marigoldladder::relay
