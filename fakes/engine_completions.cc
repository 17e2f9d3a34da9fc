#include "engine_completions.h"

#include "expected_text.h"
#include "objects/bounded_server.h"

#include <algorithm>
#include <thread>
#include <unistd.h>

namespace marigoldladder::fakes {

namespace {

    constexpr auto statusNotFound = 404;
    constexpr auto statusUnavailable = 503;
    constexpr auto crashStatus = 42;

} // namespace

// One answer being generated.
struct EngineCompletions::Generation {
    std::string m_requestId;
    std::string m_model;
    std::string m_prompt;
    int m_maxTokens = 0;
    int m_position = 0;
    int m_priority = 0;
    bool m_finished = false;
    bool m_ended = false; // It runs no longer.

    // The token that the model gives at a position of the answer to the prompt.
    auto tokenAt(int position) const -> std::string { return expectedToken(m_model, m_prompt, position); }
};

EngineCompletions::EngineCompletions(
    EngineCompletionSettings settings, AcquireAdapter acquire, ReleaseAdapter release)
    : m_settings(std::move(settings))
    , m_acquire(std::move(acquire))
    , m_release(std::move(release))
{
}

auto EngineCompletions::addRoutes(httplib::Server& server) -> void
{
    server.Post("/v1/(chat/)?completions",
        [this](const auto& request, auto& response) { complete(request, response); });
    server.Post("/fault", [this](const auto& request, auto& response) { setFaults(request, response); });
    server.Get("/health", [this](const auto&, auto& response) {
        response.set_header("X-Engine-Boot", m_settings.m_bootId);
        answerJson(response, { { "boot", m_settings.m_bootId } });
    });
}

auto EngineCompletions::addRecords(nlohmann::json& records) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    records["requests"] = m_requests;
    records["completed"] = m_completed;
    records["cancelled"] = m_cancelled;
    records["overloaded"] = m_overloaded;
    records["running"] = m_running;
    records["most_running"] = m_mostRunning;
}

auto EngineCompletions::setFaults(const httplib::Request& request, httplib::Response& response) -> void
{
    const auto body = bodyOf(request);
    const auto lock = std::lock_guard(m_mutex);
    m_faults = { body.value("crossed", 0), body.value("doubled", 0), body.value("skipped", 0) };
    answerJson(response, nlohmann::json::object());
}

auto EngineCompletions::takeFault(int EngineCompletionFaults::*fault) -> bool
{
    const auto lock = std::lock_guard(m_mutex);
    if (m_faults.*fault <= 0)
        return false;
    --(m_faults.*fault);
    return true;
}

auto EngineCompletions::record(const httplib::Request& request) -> void
{
    auto headers = nlohmann::json::object();
    for (const auto& [name, value] : request.headers)
        headers[name] = value;
    const auto lock = std::lock_guard(m_mutex);
    m_requests.push_back({ { "at_ms", wallClockMilliseconds() }, { "path", request.path },
        { "headers", headers }, { "body", request.body } });
}

// Waits for a slot; false when the engine is too cold for one more request.
auto EngineCompletions::begin(const Generation& generation) -> bool
{
    auto lock = std::unique_lock(m_mutex);
    if (m_settings.m_coldSlots > 0 && m_running >= m_settings.m_coldSlots + m_completed) {
        ++m_overloaded;
        return false;
    }
    const auto place = std::pair(generation.m_priority, m_arrivals++);
    m_waiting.insert(place);
    m_changed.wait(lock, [&] {
        return m_settings.m_slots == 0 || (m_running < m_settings.m_slots && *m_waiting.begin() == place);
    });
    m_waiting.erase(place);
    ++m_running;
    m_mostRunning = std::max(m_mostRunning, m_running);
    m_changed.notify_all();
    return true;
}

auto EngineCompletions::end(Generation& generation) -> void
{
    if (std::exchange(generation.m_ended, true))
        return;
    m_release(generation.m_model);
    const auto lock = std::lock_guard(m_mutex);
    --m_running;
    ++(generation.m_finished ? m_completed : m_cancelled);
    m_changed.notify_all();
}

auto EngineCompletions::answerWhole(Generation& generation, httplib::Response& response) -> void
{
    auto text = std::string();
    for (; generation.m_position < generation.m_maxTokens && !callerHungUp(); ++generation.m_position) {
        std::this_thread::sleep_for(m_settings.m_tokenTime);
        text += generation.tokenAt(generation.m_position);
    }
    generation.m_finished = generation.m_position >= generation.m_maxTokens;
    const auto id = takeFault(&EngineCompletionFaults::m_crossed) ? "another" : generation.m_requestId;
    const auto tokens = static_cast<std::size_t>(generation.m_maxTokens) + generation.m_prompt.size() / 4;
    answerJson(response,
        { { "id", id }, { "object", "text_completion" }, { "model", generation.m_model },
            { "choices", { { { "index", 0 }, { "text", text }, { "finish_reason", "length" } } } },
            { "usage", { { "total_tokens", tokens } } } });
}

auto EngineCompletions::eventAt(const Generation& generation, int position, const std::string& id) const
    -> std::string
{
    const auto json = nlohmann::json { { "id", id }, { "model", generation.m_model }, { "offset", position },
        { "choices", { { { "index", 0 }, { "text", generation.tokenAt(position) } } } } };
    return "data: " + json.dump() + "\n\n";
}

auto EngineCompletions::writeEvent(Generation& generation, httplib::DataSink& sink) -> bool
{
    if (generation.m_position >= generation.m_maxTokens) {
        const auto done = std::string("data: [DONE]\n\n");
        generation.m_finished = true;
        end(generation); // Before its caller can know.
        sink.write(done.data(), done.size());
        sink.done();
        return true;
    }
    std::this_thread::sleep_for(m_settings.m_tokenTime);
    const auto position = generation.m_position++;
    auto events = std::string();
    if (takeFault(&EngineCompletionFaults::m_crossed))
        events += eventAt(generation, position, "another");
    const auto skipped = takeFault(&EngineCompletionFaults::m_skipped);
    if (!skipped)
        events += eventAt(generation, position, generation.m_requestId);
    if (!skipped && takeFault(&EngineCompletionFaults::m_doubled))
        events += eventAt(generation, position, generation.m_requestId);
    return !callerHungUp() && (events.empty() || sink.write(events.data(), events.size()));
}

auto EngineCompletions::complete(const httplib::Request& request, httplib::Response& response) -> void
{
    record(request);
    const auto body = bodyOf(request);
    auto generation = std::make_shared<Generation>();
    generation->m_requestId = request.get_header_value("X-Request-Id");
    generation->m_model = body.value("model", "");
    generation->m_prompt = body.contains("prompt") ? body.value("prompt", "")
                                                   : body.value("messages", nlohmann::json()).dump();
    generation->m_maxTokens = body.value("max_tokens", 16);
    generation->m_priority = body.value("priority", 0);
    const auto offset = request.get_header_value("X-Resume-Offset");
    generation->m_position = offset.empty() ? 0 : std::stoi(offset);
    response.set_header("X-Engine-Boot", m_settings.m_bootId);
    if (generation->m_prompt.find(crashMarker) != std::string::npos)
        _exit(crashStatus);
    if (!m_acquire(generation->m_model)) {
        answerJson(response, { { "message", "the model does not exist" } }, statusNotFound);
        return;
    }
    if (!begin(*generation)) {
        m_release(generation->m_model);
        answerJson(response, { { "message", "too much for a cold engine" } }, statusUnavailable);
        return;
    }
    if (body.value("stream", false)) {
        response.set_chunked_content_provider(
            "text/event-stream",
            [this, generation](
                std::size_t, httplib::DataSink& sink) { return writeEvent(*generation, sink); },
            [this, generation](bool) { end(*generation); });
        return;
    }
    answerWhole(*generation, response);
    end(*generation);
}

} // namespace marigoldladder::fakes
