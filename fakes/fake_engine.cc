// Stand-in for a model engine, in the shape of vLLM's published OpenAI API with adapter loading.
//
// The text it generates is a function of adapter, version, prompt and position, so that whoever asked can
// check every token. `GET /records` returns all it was asked, with the headers that came along.
#include "engine_completions.h"
#include "fake_server.h"

#include "core/random_bytes.h"
#include "serving/stream_server.h"

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
              [--running N] [--cold N]

Options:
  --address ADDRESS  Where to listen [default: 127.0.0.1:0].
  --slots N          Adapters that fit at once [default: 16].
  --load-ms N        Time to load an adapter [default: 250].
  --token-ms N       Time between tokens [default: 5].
  --check-fencing    Refuse orders with an old fencing number.
  --running N        Requests that run at once, 0 for any number [default: 0].
  --cold N           Requests at once that it bears when fresh, one more for each that it completed;
                     0 for any number [default: 0].
)";

    constexpr auto statusConflict = 409;
    constexpr auto statusNotFound = 404;

    struct EngineSettings {
        std::size_t m_slots = 16;
        std::chrono::milliseconds m_loadTime { 250 };
        EngineCompletionSettings m_completions;
        bool m_checkFencing = false;
    };

    class FakeEngine {
    public:
        explicit FakeEngine(EngineSettings settings)
            : m_settings(std::move(settings))
            , m_completions(
                  m_settings.m_completions, [this](const auto& model) { return acquire(model); },
                  [this](const auto& model) { release(model); })
        {
        }

        auto addRoutes(httplib::Server&) -> void;

    private:
        auto refusesFencing(const httplib::Request&, httplib::Response&) -> bool;
        auto load(const httplib::Request&, httplib::Response&) -> void;
        auto unload(const httplib::Request&, httplib::Response&) -> void;
        auto acquire(const std::string& model) -> bool;
        auto release(const std::string& model) -> void;

        EngineSettings m_settings;
        EngineCompletions m_completions;
        std::mutex m_mutex;
        std::map<std::string, int> m_adapters; // With the number of requests that run on each.
        std::uint64_t m_fencing = 0;
        std::uint64_t m_evictedInUse = 0;
    };

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

    auto FakeEngine::acquire(const std::string& model) -> bool
    {
        const auto lock = std::lock_guard(m_mutex);
        const auto found = m_adapters.find(model);
        if (found == m_adapters.end())
            return false;
        ++found->second;
        return true;
    }

    auto FakeEngine::release(const std::string& model) -> void
    {
        const auto lock = std::lock_guard(m_mutex);
        const auto found = m_adapters.find(model);
        if (found != m_adapters.end())
            --found->second;
    }

    auto FakeEngine::addRoutes(httplib::Server& server) -> void
    {
        server.Post("/v1/load_lora_adapter",
            [this](const auto& request, auto& response) { load(request, response); });
        server.Post("/v1/unload_lora_adapter",
            [this](const auto& request, auto& response) { unload(request, response); });
        m_completions.addRoutes(server);
        server.Get("/records", [this](const auto&, auto& response) {
            auto records = nlohmann::json::object();
            m_completions.addRecords(records);
            const auto lock = std::lock_guard(m_mutex);
            records["evicted_in_use"] = m_evictedInUse;
            records["adapters"] = m_adapters;
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
    settings.m_slots = static_cast<std::size_t>(arguments.at("--slots").asLong());
    settings.m_loadTime = std::chrono::milliseconds(arguments.at("--load-ms").asLong());
    settings.m_completions.m_tokenTime = std::chrono::milliseconds(arguments.at("--token-ms").asLong());
    settings.m_completions.m_slots = static_cast<std::size_t>(arguments.at("--running").asLong());
    settings.m_completions.m_coldSlots = static_cast<std::size_t>(arguments.at("--cold").asLong());
    settings.m_completions.m_bootId = randomHex(8);
    settings.m_checkFencing = arguments.at("--check-fencing").asBool();
    auto server = StreamServer();
    fakes::configureFakeServer(server);
    auto engine = fakes::FakeEngine(settings);
    engine.addRoutes(server);
    return address ? fakes::serveUntilKilled(server, *address) : 2;
}
