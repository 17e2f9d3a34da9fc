#include "engine_adapters.h"

#include <algorithm>
#include <thread>

namespace marigoldladder::fakes {

namespace {

    constexpr auto statusConflict = 409;
    constexpr auto statusNotFound = 404;
    constexpr auto statusFenced = 412;
    constexpr auto statusUnprocessable = 422;
    constexpr auto statusLost = 504;

    // The monotonic clock is the same for all processes of a machine, so records of engines can be compared.
    auto nowMilliseconds() -> std::int64_t
    {
        const auto now = std::chrono::steady_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    }

} // namespace

EngineAdapters::EngineAdapters(EngineAdapterSettings settings)
    : m_settings(settings)
{
}

auto EngineAdapters::refusesFencing(const httplib::Request& request, httplib::Response& response) -> bool
{
    const auto text = request.get_header_value("X-Fencing-Number");
    const auto fencing = text.empty() ? std::uint64_t { 0 } : std::uint64_t { std::stoull(text) };
    if (m_settings.m_checkFencing && fencing < m_fencing) {
        answerJson(response, { { "message", "an older owner's order" } }, statusFenced);
        return true;
    }
    m_fencing = std::max(m_fencing, fencing);
    return false;
}

// Call it with the lock held.
auto EngineAdapters::failsLoad(httplib::Response& response) -> bool
{
    if (m_faults.m_failLoads <= 0)
        return false;
    --m_faults.m_failLoads;
    answerJson(response, { { "message", "the weights can't be read" } }, statusUnprocessable);
    return true;
}

// Call it with the lock held.
auto EngineAdapters::answerOrder(httplib::Response& response, const char* message) -> void
{
    if (m_faults.m_loseReplies > 0) {
        --m_faults.m_loseReplies;
        answerJson(response, { { "message", "the reply is lost" } }, statusLost);
        return;
    }
    answerJson(response, { { "message", message } });
}

auto EngineAdapters::load(const httplib::Request& request, httplib::Response& response) -> void
{
    const auto name = bodyOf(request).value("lora_name", "");
    const auto begun = nowMilliseconds();
    const auto loading = std::lock_guard(m_loadMutex);
    {
        const auto lock = std::lock_guard(m_mutex);
        if (refusesFencing(request, response) || failsLoad(response))
            return;
        if (m_adapters.size() >= m_settings.m_slots && !m_adapters.contains(name)) {
            answerJson(response, { { "message", "no free slot" } }, statusConflict);
            return;
        }
    }
    std::this_thread::sleep_for(m_settings.m_loadTime);
    const auto lock = std::lock_guard(m_mutex);
    if (m_adapters.try_emplace(name, 0).second)
        m_paths[name] = bodyOf(request).value("lora_path", "");
    m_orders.push_back({ { "order", "load" }, { "adapter", name }, { "begun_ms", begun },
        { "ended_ms", nowMilliseconds() } });
    answerOrder(response, "loaded");
}

auto EngineAdapters::unload(const httplib::Request& request, httplib::Response& response) -> void
{
    const auto name = bodyOf(request).value("lora_name", "");
    const auto lock = std::lock_guard(m_mutex);
    if (refusesFencing(request, response))
        return;
    const auto found = m_adapters.find(name);
    if (found == m_adapters.end()) {
        answerJson(response, { { "message", "not loaded" } }, statusNotFound);
        return;
    }
    if (found->second > 0)
        ++m_evictedInUse;
    m_adapters.erase(found);
    m_orders.push_back({ { "order", "evict" }, { "adapter", name }, { "ended_ms", nowMilliseconds() } });
    answerOrder(response, "unloaded");
}

auto EngineAdapters::list(httplib::Response& response) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    auto models = nlohmann::json::array();
    for (const auto& [name, uses] : m_adapters)
        models.push_back({ { "id", name }, { "object", "model" }, { "root", m_paths[name] } });
    answerJson(response, { { "object", "list" }, { "data", models } });
}

auto EngineAdapters::setFaults(const httplib::Request& request, httplib::Response& response) -> void
{
    const auto body = bodyOf(request);
    const auto lock = std::lock_guard(m_mutex);
    m_faults.m_failLoads = body.value("fail_loads", 0);
    m_faults.m_loseReplies = body.value("lose_replies", 0);
    answerJson(response, nlohmann::json::object());
}

auto EngineAdapters::acquire(const std::string& model) -> bool
{
    const auto lock = std::lock_guard(m_mutex);
    const auto found = m_adapters.find(model);
    if (found == m_adapters.end())
        return false;
    ++found->second;
    return true;
}

auto EngineAdapters::release(const std::string& model) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    const auto found = m_adapters.find(model);
    if (found != m_adapters.end() && found->second > 0)
        --found->second;
}

auto EngineAdapters::addRecords(nlohmann::json& records) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    records["adapters"] = m_adapters;
    records["evicted_in_use"] = m_evictedInUse;
    records["orders"] = m_orders;
    records["fencing"] = m_fencing;
}

auto EngineAdapters::addRoutes(httplib::Server& server) -> void
{
    server.Post(
        "/v1/load_lora_adapter", [this](const auto& request, auto& response) { load(request, response); });
    server.Post("/v1/unload_lora_adapter",
        [this](const auto& request, auto& response) { unload(request, response); });
    server.Get("/v1/models", [this](const auto&, auto& response) { list(response); });
    server.Post(
        "/adapter-fault", [this](const auto& request, auto& response) { setFaults(request, response); });
}

} // namespace marigoldladder::fakes
