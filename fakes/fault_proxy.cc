// A TCP proxy between any two processes that does to their connections what networks do.
//
// `POST /fault` on the control port sets `mode`:
//   pass          forward everything,
//   refuse        close every connection and each new one at once,
//   drop_replies  swallow everything that the target sends,
//   hang          accept connections and forward nothing,
// and `delay_ms`, which slows each piece forwarded. A reset is passed on as a reset. `POST /cut` closes the
// connections there are, `POST /reset` resets them; `POST /silence` makes them silent for good without
// closing them, while new ones work.
#include "fake_server.h"

#include "core/posix_thread.h"
#include "objects/http_port.h"
#include "wire/socket.h"

#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <docopt/docopt.h>
#include <iostream>
#include <list>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>

namespace marigoldladder::fakes {

namespace {

    constexpr auto usage = R"(fault-proxy - a TCP proxy that cuts, delays and silences connections.

Usage:
  fault-proxy --target ADDRESS [--listen ADDRESS] [--control ADDRESS]

Options:
  --target ADDRESS   Where to forward to.
  --listen ADDRESS   Where to take connections [default: 127.0.0.1:0].
  --control ADDRESS  Where to take orders over HTTP [default: 127.0.0.1:0].
)";

    constexpr auto connectTimeout = std::chrono::milliseconds(500);
    constexpr auto pieceBytes = std::size_t { 16384 };
    constexpr auto silentStep = std::chrono::milliseconds(20);

    enum class ProxyMode {
        Pass,
        Refuse,
        DropReplies,
        Hang,
    };

    constexpr auto proxyModeNames = std::array {
        EnumName<ProxyMode> { ProxyMode::Pass, "pass" },
        EnumName<ProxyMode> { ProxyMode::Refuse, "refuse" },
        EnumName<ProxyMode> { ProxyMode::DropReplies, "drop_replies" },
        EnumName<ProxyMode> { ProxyMode::Hang, "hang" },
    };

    // Whether the connection was reset, also when a write on another thread has taken the error: a read finds
    // a plain end then.
    auto wasReset(const Socket& socket) -> bool
    {
        auto info = tcp_info();
        auto length = socklen_t { sizeof(info) };
        return getsockopt(socket.descriptor(), IPPROTO_TCP, TCP_INFO, &info, &length) == 0
            && info.tcpi_state == TCP_CLOSE;
    }

    // The two halves of one proxied connection.
    struct Pair {
        Socket m_client;
        Socket m_target;
        std::atomic<bool> m_silent { false };
        std::atomic<bool> m_isOver { false }; // One direction has ended, and the other one with it.

        auto cut() const -> void
        {
            m_client.shutDown();
            m_target.shutDown();
        }

        // Dissolving the association of a connected socket sends a reset at once.
        auto reset() const -> void
        {
            const auto none = sockaddr { AF_UNSPEC, {} };
            (void)::connect(m_client.descriptor(), &none, sizeof(none));
            (void)::connect(m_target.descriptor(), &none, sizeof(none));
        }
    };

    class FaultProxy {
    public:
        explicit FaultProxy(Address target)
            : m_target(std::move(target))
        {
        }

        auto addRoutes(httplib::Server&) -> void;
        auto acceptLoop(const Socket& listener) -> void;

    private:
        auto proxy(Socket client) -> void;
        auto forward(const std::shared_ptr<Pair>&, bool isReply) -> void;
        auto mayForward(const Pair&, bool isReply) const -> bool;
        auto forEachPair(const std::function<void(Pair&)>&) -> std::size_t;
        auto setFault(const httplib::Request&, httplib::Response&) -> void;

        Address m_target;
        std::atomic<ProxyMode> m_mode { ProxyMode::Pass };
        std::atomic<int> m_delayMilliseconds { 0 };
        std::mutex m_mutex;
        std::list<std::weak_ptr<Pair>> m_pairs;
    };

    auto FaultProxy::acceptLoop(const Socket& listener) -> void
    {
        while (true) {
            auto client = std::make_shared<Socket>(acceptFrom(listener));
            if (!client->valid())
                return;
            if (m_mode != ProxyMode::Refuse)
                runDetached("proxy", [this, client] { proxy(std::move(*client)); });
        }
    }

    auto FaultProxy::proxy(Socket client) -> void
    {
        auto target = connectTo(m_target, connectTimeout);
        if (!target)
            return;
        auto pair = std::make_shared<Pair>();
        pair->m_client = std::move(client);
        pair->m_target = std::move(target.value());
        {
            const auto lock = std::lock_guard(m_mutex);
            m_pairs.remove_if([](const auto& weak) { return weak.expired(); });
            m_pairs.push_back(pair);
        }
        runDetached("proxy-reply", [this, pair] { forward(pair, true); });
        forward(pair, false);
    }

    auto FaultProxy::mayForward(const Pair& pair, bool isReply) const -> bool
    {
        return !pair.m_silent && m_mode != ProxyMode::Hang && !(isReply && m_mode == ProxyMode::DropReplies);
    }

    auto FaultProxy::forward(const std::shared_ptr<Pair>& pair, bool isReply) -> void
    {
        const auto& from = isReply ? pair->m_target : pair->m_client;
        const auto& to = isReply ? pair->m_client : pair->m_target;
        auto piece = std::array<std::uint8_t, pieceBytes> {};
        auto broke = false;
        while (!broke) {
            const auto size = recv(from.descriptor(), piece.data(), piece.size(), 0);
            while (pair->m_silent)
                std::this_thread::sleep_for(silentStep); // For good: not even an end is told.
            if (size == 0 && !wasReset(from))
                break;
            std::this_thread::sleep_for(std::chrono::milliseconds(m_delayMilliseconds));
            broke = size <= 0
                || (mayForward(*pair, isReply) && !sendAll(to, piece.data(), static_cast<std::size_t>(size)));
        }
        if (pair->m_isOver.exchange(true))
            return;
        // An end and a break don't mean the same to the other side.
        if (broke)
            pair->reset();
        else
            pair->cut();
    }

    auto FaultProxy::forEachPair(const std::function<void(Pair&)>& action) -> std::size_t
    {
        const auto lock = std::lock_guard(m_mutex);
        auto count = std::size_t { 0 };
        for (const auto& weak : m_pairs) {
            if (const auto pair = weak.lock()) {
                action(*pair);
                ++count;
            }
        }
        return count;
    }

    auto FaultProxy::setFault(const httplib::Request& request, httplib::Response& response) -> void
    {
        const auto body = bodyOf(request);
        const auto mode = valueNamed(proxyModeNames, body.value("mode", "pass"));
        if (!mode) {
            answerJson(response, { { "message", "no such mode" } }, 400);
            return;
        }
        m_mode = *mode;
        m_delayMilliseconds = body.value("delay_ms", 0);
        if (*mode == ProxyMode::Refuse)
            forEachPair([](Pair& pair) { pair.cut(); });
        answerJson(response, nlohmann::json::object());
    }

    auto FaultProxy::addRoutes(httplib::Server& server) -> void
    {
        server.Post("/fault", [this](const auto& request, auto& response) { setFault(request, response); });
        server.Post("/cut", [this](const auto&, auto& response) {
            answerJson(response, { { "connections", forEachPair([](Pair& pair) { pair.cut(); }) } });
        });
        server.Post("/reset", [this](const auto&, auto& response) {
            answerJson(response, { { "connections", forEachPair([](Pair& pair) { pair.reset(); }) } });
        });
        server.Post("/silence", [this](const auto&, auto& response) {
            answerJson(
                response, { { "connections", forEachPair([](Pair& pair) { pair.m_silent = true; }) } });
        });
    }

} // namespace

} // namespace marigoldladder::fakes

auto main(int argc, char** argv) -> int
{
    using namespace marigoldladder;
    std::signal(SIGPIPE, SIG_IGN);
    const auto arguments = docopt::docopt(fakes::usage, { argv + 1, argv + argc });
    const auto target = parseAddress(arguments.at("--target").asString());
    const auto listen = parseAddress(arguments.at("--listen").asString());
    const auto control = parseAddress(arguments.at("--control").asString());
    if (!target || !listen || !control)
        return 2;
    auto listener = listenOn(*listen);
    if (!listener)
        return 1;
    auto proxy = fakes::FaultProxy(*target);
    auto server = httplib::Server();
    proxy.addRoutes(server);
    const auto controlPort = openHttpPort(server, *control);
    if (!controlPort)
        return 1;
    const auto ready = nlohmann::json {
        { "event", "ready" },
        { "address", formatAddress(boundAddress(listener.value())) },
        { "control_address", formatAddress({ control->m_host, *controlPort }) },
    };
    std::cout << ready.dump() << std::endl;
    auto accepting = PosixThread("proxy-accept", [&] { proxy.acceptLoop(listener.value()); });
    server.listen_after_bind();
    listener.value().shutDown();
    return 0;
}
