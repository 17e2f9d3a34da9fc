#include "soak/soak_engine.h"

namespace marigoldladder::soak {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr auto loadTime = std::chrono::milliseconds(150);
    constexpr auto okStatus = 200;
    constexpr auto acceptedStatus = 202;
    constexpr auto conflictStatus = 409;

    auto reply(int status, const std::string& body) -> platform::UpstreamReply
    {
        return { "HTTP/1.1 " + std::to_string(status)
            + " Said\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body };
    }

} // namespace

auto SoakEngine::answer(const platform::UpstreamRequest& request) -> platform::UpstreamReply
{
    if (request.target() == "/report")
        return reply(okStatus, report());
    return reply(accept(nlohmann::json::parse(request.body(), nullptr, false)), "{}");
}

auto SoakEngine::holds(const std::string& name) const -> bool
{
    const auto found = m_adapters.find(name.substr(name.find('/') + 1));
    return found != m_adapters.end() && Clock::now() >= found->second.m_from;
}

auto SoakEngine::models() const -> nlohmann::json
{
    auto adapters = nlohmann::json::array();
    for (const auto& [name, held] : m_adapters) {
        if (Clock::now() >= held.m_from)
            adapters.push_back(name + "@" + std::to_string(held.m_version));
    }
    return nlohmann::json::array({ { { "name", engineModel }, { "version", 1 }, { "adapters", adapters } } });
}

auto SoakEngine::report() const -> std::string
{
    auto pending = nlohmann::json::array();
    for (const auto& [name, held] : m_adapters) {
        if (Clock::now() < held.m_from)
            pending.push_back(std::string(engineModel) + "/" + name + "@" + std::to_string(held.m_version));
    }
    return nlohmann::json {
        { "phase", "both" }, { "models", models() }, { "pending", pending }, { "busy", false },
        { "sequence", m_acceptedOrders }, { "queued", 0 }, { "active", 0 }
    }.dump();
}

auto SoakEngine::accept(const nlohmann::json& order) -> int
{
    if (order.contains("precondition") && order["precondition"] != m_acceptedOrders)
        return conflictStatus;
    ++m_acceptedOrders;
    const auto adapter = order.value("adapter", "");
    if (adapter.empty())
        return okStatus;
    if (order.value("operation", "") == "unload") {
        m_adapters.erase(adapter);
        return okStatus;
    }
    m_adapters[adapter] = { order.value("version", std::uint64_t { 1 }), Clock::now() + loadTime };
    return acceptedStatus;
}

} // namespace marigoldladder::soak
