#include "fake_server.h"

#include "objects/http_port.h"

#include <chrono>
#include <csignal>
#include <iostream>

namespace marigoldladder::fakes {

namespace {

    constexpr auto serverThreads = std::size_t { 96 };
    constexpr auto keepAliveRequests = std::size_t { 1'000'000 };
    constexpr auto keepAliveSeconds = 60;

} // namespace

auto configureFakeServer(httplib::Server& server) -> void
{
    std::signal(SIGPIPE, SIG_IGN);
    server.new_task_queue = [] { return new httplib::ThreadPool(serverThreads); };
    server.set_tcp_nodelay(true);
    server.set_keep_alive_max_count(keepAliveRequests);
    server.set_keep_alive_timeout(keepAliveSeconds);
}

auto serveUntilKilled(httplib::Server& server, const Address& address) -> int
{
    const auto port = openHttpPort(server, address);
    if (!port) {
        std::cerr << "can't listen on " << formatAddress(address) << "\n";
        return 1;
    }
    const auto line
        = nlohmann::json { { "event", "ready" }, { "address", formatAddress({ address.m_host, *port }) } };
    std::cout << line.dump() << std::endl;
    server.listen_after_bind();
    return 0;
}

auto answerJson(httplib::Response& response, const nlohmann::json& json, int status) -> void
{
    response.status = status;
    response.set_content(json.dump(), "application/json");
}

auto wallClockMilliseconds() -> std::int64_t
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

auto bodyOf(const httplib::Request& request) -> nlohmann::json
{
    auto json = nlohmann::json::parse(request.body, nullptr, false);
    return json.is_object() ? json : nlohmann::json::object();
}

} // namespace marigoldladder::fakes
