// Stand-in for a model engine, in the shape of vLLM's published OpenAI API with adapter loading.
//
// The text it generates is a function of adapter, version, prompt and position, so that whoever asked can
// check every token. `GET /records` returns all it was asked, with the headers that came along.
#include "engine_adapters.h"
#include "engine_completions.h"
#include "fake_server.h"

#include "core/random_bytes.h"
#include "objects/bounded_server.h"

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

    class FakeEngine {
    public:
        FakeEngine(const EngineAdapterSettings& adapters, EngineCompletionSettings completions)
            : m_adapters(adapters)
            , m_completions(
                  std::move(completions), [this](const auto& model) { return m_adapters.acquire(model); },
                  [this](const auto& model) { m_adapters.release(model); })
        {
        }

        auto addRoutes(httplib::Server&) -> void;

    private:
        EngineAdapters m_adapters;
        EngineCompletions m_completions;
    };

    auto FakeEngine::addRoutes(httplib::Server& server) -> void
    {
        m_adapters.addRoutes(server);
        m_completions.addRoutes(server);
        server.Get("/records", [this](const auto&, auto& response) {
            auto records = nlohmann::json::object();
            m_completions.addRecords(records);
            m_adapters.addRecords(records);
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
    auto adapters = fakes::EngineAdapterSettings();
    adapters.m_slots = static_cast<std::size_t>(arguments.at("--slots").asLong());
    adapters.m_loadTime = std::chrono::milliseconds(arguments.at("--load-ms").asLong());
    adapters.m_checkFencing = arguments.at("--check-fencing").asBool();
    auto completions = fakes::EngineCompletionSettings();
    completions.m_tokenTime = std::chrono::milliseconds(arguments.at("--token-ms").asLong());
    completions.m_slots = static_cast<std::size_t>(arguments.at("--running").asLong());
    completions.m_coldSlots = static_cast<std::size_t>(arguments.at("--cold").asLong());
    completions.m_bootId = randomHex(8);
    auto server = BoundedServer(ServerBounds());
    fakes::configureFakeServer(server);
    auto engine = fakes::FakeEngine(adapters, completions);
    engine.addRoutes(server);
    return address ? fakes::serveUntilKilled(server, *address) : 2;
}
