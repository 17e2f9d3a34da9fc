// Stand-in for a model engine, in the shape of vLLM's published OpenAI API with adapter loading.
//
// The text it generates is a function of adapter, version, prompt and position, so that whoever asked can
// check every token. `GET /records` returns all it was asked, with the headers that came along.
#include "expected_text.h"
#include "fake_server.h"

#include "core/random_bytes.h"

#include <chrono>
#include <condition_variable>
#include <docopt/docopt.h>
#include <map>
#include <mutex>
#include <thread>

namespace marigoldladder::fakes {

namespace {

    constexpr auto usage = R"(fake-engine - stand-in for a model engine.

Usage:
  fake-engine [--address ADDRESS] [--slots N] [--load-ms N] [--token-ms N] [--check-fencing]

Options:
  --address ADDRESS  Where to listen [default: 127.0.0.1:0].
  --slots N          Adapters that fit at once [default: 16].
  --load-ms N        Time to load an adapter [default: 250].
  --token-ms N       Time between tokens [default: 5].
  --check-fencing    Refuse orders with an old fencing number.
)";

    constexpr auto statusConflict = 409;
    constexpr auto statusNotFound = 404;

    struct EngineSettings {
        std::size_t m_slots = 16;
        std::chrono::milliseconds m_loadTime { 250 };
        std::chrono::milliseconds m_tokenTime { 5 };
        bool m_checkFencing = false;
    };

    // One answer being generated.
    struct Generation {
        std::string m_requestId;
        std::string m_model;
        std::string m_prompt;
        int m_maxTokens = 0;
        int m_position = 0;
    };

    // The token that a model gives at a position of the answer to a prompt.
    auto tokenAt(const Generation& generation, int position) -> std::string
    {
        return expectedToken(generation.m_model, generation.m_prompt, position);
    }

    class FakeEngine {
    public:
        explicit FakeEngine(EngineSettings settings)
            : m_settings(settings)
        {
        }

        auto addRoutes(httplib::Server&) -> void;

    private:
        auto refusesFencing(const httplib::Request&, httplib::Response&) -> bool;
        auto load(const httplib::Request&, httplib::Response&) -> void;
        auto unload(const httplib::Request&, httplib::Response&) -> void;
        auto complete(const httplib::Request&, httplib::Response&) -> void;
        auto record(const httplib::Request&) -> void;
        auto answerWhole(const Generation&, httplib::Response&) const -> void;
        auto writeEvent(Generation&, httplib::DataSink&) const -> bool;

        EngineSettings m_settings;
        std::string m_bootId = randomHex(8);
        std::mutex m_mutex;
        std::map<std::string, int> m_adapters; // With the number of requests that run on each.
        std::uint64_t m_fencing = 0;
        nlohmann::json m_records = nlohmann::json::array();
        std::uint64_t m_evictedInUse = 0;
    };

    auto FakeEngine::record(const httplib::Request& request) -> void
    {
        auto headers = nlohmann::json::object();
        for (const auto& [name, value] : request.headers)
            headers[name] = value;
        const auto lock = std::lock_guard(m_mutex);
        m_records.push_back({ { "at_ms", wallClockMilliseconds() }, { "path", request.path },
            { "headers", headers }, { "body", request.body } });
    }

    auto FakeEngine::refusesFencing(const httplib::Request& request, httplib::Response& response) -> bool
    {
        const auto text = request.get_header_value("X-Fencing-Number");
        const auto fencing = text.empty() ? std::uint64_t { 0 } : std::uint64_t { std::stoull(text) };
        if (m_settings.m_checkFencing && fencing < m_fencing) {
            answerJson(response, { { "message", "an older owner's order" } }, statusConflict);
            return true;
        }
        m_fencing = std::max(m_fencing, fencing);
        return false;
    }

    auto FakeEngine::load(const httplib::Request& request, httplib::Response& response) -> void
    {
        record(request);
        const auto name = bodyOf(request).value("lora_name", "");
        {
            const auto lock = std::lock_guard(m_mutex);
            if (refusesFencing(request, response))
                return;
            if (m_adapters.size() >= m_settings.m_slots && !m_adapters.contains(name)) {
                answerJson(response, { { "message", "no free slot" } }, statusConflict);
                return;
            }
        }
        std::this_thread::sleep_for(m_settings.m_loadTime);
        const auto lock = std::lock_guard(m_mutex);
        m_adapters.try_emplace(name, 0);
        answerJson(response, { { "message", "loaded" } });
    }

    auto FakeEngine::unload(const httplib::Request& request, httplib::Response& response) -> void
    {
        record(request);
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
        answerJson(response, { { "message", "unloaded" } });
    }

    auto FakeEngine::answerWhole(const Generation& generation, httplib::Response& response) const -> void
    {
        auto text = std::string();
        for (auto position = 0; position < generation.m_maxTokens; ++position) {
            std::this_thread::sleep_for(m_settings.m_tokenTime);
            text += tokenAt(generation, position);
        }
        answerJson(response,
            { { "id", generation.m_requestId }, { "object", "text_completion" },
                { "model", generation.m_model },
                { "choices", { { { "index", 0 }, { "text", text }, { "finish_reason", "length" } } } },
                { "usage",
                    { { "total_tokens", generation.m_maxTokens + generation.m_prompt.size() / 4 } } } });
    }

    auto FakeEngine::writeEvent(Generation& generation, httplib::DataSink& sink) const -> bool
    {
        if (generation.m_position >= generation.m_maxTokens) {
            const auto done = std::string("data: [DONE]\n\n");
            sink.write(done.data(), done.size());
            sink.done();
            return true;
        }
        std::this_thread::sleep_for(m_settings.m_tokenTime);
        const auto position = generation.m_position++;
        const auto json = nlohmann::json { { "id", generation.m_requestId }, { "model", generation.m_model },
            { "offset", position },
            { "choices", { { { "index", 0 }, { "text", tokenAt(generation, position) } } } } };
        const auto event = "data: " + json.dump() + "\n\n";
        return sink.write(event.data(), event.size());
    }

    auto FakeEngine::complete(const httplib::Request& request, httplib::Response& response) -> void
    {
        record(request);
        const auto body = bodyOf(request);
        auto generation = std::make_shared<Generation>();
        generation->m_requestId = request.get_header_value("X-Request-Id");
        generation->m_model = body.value("model", "");
        generation->m_prompt = body.contains("prompt") ? body.value("prompt", "")
                                                       : body.value("messages", nlohmann::json()).dump();
        generation->m_maxTokens = body.value("max_tokens", 16);
        const auto offset = request.get_header_value("X-Resume-Offset");
        generation->m_position = offset.empty() ? 0 : std::stoi(offset);
        response.set_header("X-Engine-Boot", m_bootId);
        {
            const auto lock = std::lock_guard(m_mutex);
            if (!m_adapters.contains(generation->m_model)) {
                answerJson(response, { { "message", "the model does not exist" } }, statusNotFound);
                return;
            }
            ++m_adapters[generation->m_model];
        }
        const auto release = [this, model = generation->m_model](bool) {
            const auto lock = std::lock_guard(m_mutex);
            const auto found = m_adapters.find(model);
            if (found != m_adapters.end())
                --found->second;
        };
        if (body.value("stream", false)) {
            response.set_chunked_content_provider(
                "text/event-stream",
                [this, generation](
                    std::size_t, httplib::DataSink& sink) { return writeEvent(*generation, sink); },
                release);
            return;
        }
        answerWhole(*generation, response);
        release(true);
    }

    auto FakeEngine::addRoutes(httplib::Server& server) -> void
    {
        server.Post("/v1/load_lora_adapter",
            [this](const auto& request, auto& response) { load(request, response); });
        server.Post("/v1/unload_lora_adapter",
            [this](const auto& request, auto& response) { unload(request, response); });
        server.Post("/v1/(chat/)?completions",
            [this](const auto& request, auto& response) { complete(request, response); });
        server.Get("/health", [this](const auto&, auto& response) {
            answerJson(response, { { "boot", m_bootId } });
        });
        server.Get("/records", [this](const auto&, auto& response) {
            const auto lock = std::lock_guard(m_mutex);
            answerJson(response,
                { { "requests", m_records }, { "evicted_in_use", m_evictedInUse },
                    { "adapters", m_adapters } });
        });
    }

} // namespace

} // namespace marigoldladder::fakes

auto main(int argc, char** argv) -> int
{
    using namespace marigoldladder;
    const auto arguments = docopt::docopt(fakes::usage, { argv + 1, argv + argc });
    const auto address = parseAddress(arguments.at("--address").asString());
    auto settings = fakes::EngineSettings();
    settings.m_slots = static_cast<std::size_t>(arguments.at("--slots").asLong());
    settings.m_loadTime = std::chrono::milliseconds(arguments.at("--load-ms").asLong());
    settings.m_tokenTime = std::chrono::milliseconds(arguments.at("--token-ms").asLong());
    settings.m_checkFencing = arguments.at("--check-fencing").asBool();
    auto server = httplib::Server();
    fakes::configureFakeServer(server);
    auto engine = fakes::FakeEngine(settings);
    engine.addRoutes(server);
    return address ? fakes::serveUntilKilled(server, *address) : 2;
}
