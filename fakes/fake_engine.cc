// Stand-in for a model engine, in the shape of vLLM's published OpenAI API with adapter loading.
//
// The text it generates is a function of adapter, version, prompt and position, so that whoever asked can
// check every token. `GET /records` returns all it was asked, with the headers that came along.
#include "engine_adapters.h"
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

    constexpr auto statusNotFound = 404;

    struct EngineSettings {
        EngineAdapterSettings m_adapters;
        std::chrono::milliseconds m_tokenTime { 5 };
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
            , m_adapters(settings.m_adapters)
        {
        }

        auto addRoutes(httplib::Server&) -> void;

    private:
        auto complete(const httplib::Request&, httplib::Response&) -> void;
        auto record(const httplib::Request&) -> void;
        auto answerWhole(const Generation&, httplib::Response&) const -> void;
        auto writeEvent(Generation&, httplib::DataSink&) const -> bool;

        EngineSettings m_settings;
        std::string m_bootId = randomHex(8);
        std::mutex m_mutex;
        EngineAdapters m_adapters;
        nlohmann::json m_records = nlohmann::json::array();
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
        if (!m_adapters.acquire(generation->m_model)) {
            answerJson(response, { { "message", "the model does not exist" } }, statusNotFound);
            return;
        }
        const auto release = [this, model = generation->m_model](bool) { m_adapters.release(model); };
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
        m_adapters.addRoutes(server);
        server.Post("/v1/(chat/)?completions",
            [this](const auto& request, auto& response) { complete(request, response); });
        server.Get("/health", [this](const auto&, auto& response) {
            answerJson(response, { { "boot", m_bootId } });
        });
        server.Get("/records", [this](const auto&, auto& response) {
            auto records = nlohmann::json::object();
            m_adapters.addRecords(records);
            const auto lock = std::lock_guard(m_mutex);
            records["requests"] = m_records;
            answerJson(response, records);
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
    settings.m_adapters.m_slots = static_cast<std::size_t>(arguments.at("--slots").asLong());
    settings.m_adapters.m_loadTime = std::chrono::milliseconds(arguments.at("--load-ms").asLong());
    settings.m_tokenTime = std::chrono::milliseconds(arguments.at("--token-ms").asLong());
    settings.m_adapters.m_checkFencing = arguments.at("--check-fencing").asBool();
    auto server = httplib::Server();
    fakes::configureFakeServer(server);
    auto engine = fakes::FakeEngine(settings);
    engine.addRoutes(server);
    return address ? fakes::serveUntilKilled(server, *address) : 2;
}
