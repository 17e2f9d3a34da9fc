// Stand-in for a plain service, such as booking or charging. It counts how often it ran each idempotency
// key; `GET /records` returns the counts and all it was asked, with the headers that came along.
#include "fake_server.h"

#include <chrono>
#include <docopt/docopt.h>
#include <map>
#include <mutex>
#include <thread>

namespace marigoldladder::fakes {

namespace {

    constexpr auto usage = R"(fake-service - stand-in for a plain service.

Usage:
  fake-service [--address ADDRESS] [--work-ms N]

Options:
  --address ADDRESS  Where to listen [default: 127.0.0.1:0].
  --work-ms N        Time that a call takes [default: 5].
)";

    class FakeService {
    public:
        explicit FakeService(std::chrono::milliseconds workTime)
            : m_workTime(workTime)
        {
        }

        auto serve(const httplib::Request& request, httplib::Response& response) -> void
        {
            std::this_thread::sleep_for(m_workTime);
            auto headers = nlohmann::json::object();
            for (const auto& [name, value] : request.headers)
                headers[name] = value;
            const auto key = request.get_header_value("Idempotency-Key");
            const auto lock = std::lock_guard(m_mutex);
            m_records.push_back(
                { { "at_ms", wallClockMilliseconds() }, { "path", request.path }, { "headers", headers } });
            if (!key.empty())
                ++m_runs[key];
            answerJson(response, { { "path", request.path }, { "runs", key.empty() ? 0 : m_runs[key] } });
        }

        auto records(httplib::Response& response) -> void
        {
            const auto lock = std::lock_guard(m_mutex);
            answerJson(response, { { "runs", m_runs }, { "requests", m_records } });
        }

    private:
        std::chrono::milliseconds m_workTime;
        std::mutex m_mutex;
        std::map<std::string, int> m_runs;
        nlohmann::json m_records = nlohmann::json::array();
    };

} // namespace

} // namespace marigoldladder::fakes

auto main(int argc, char** argv) -> int
{
    using namespace marigoldladder;
    const auto arguments = docopt::docopt(fakes::usage, { argv + 1, argv + argc });
    const auto address = parseAddress(arguments.at("--address").asString());
    auto server = httplib::Server();
    fakes::configureFakeServer(server);
    auto service = fakes::FakeService(std::chrono::milliseconds(arguments.at("--work-ms").asLong()));
    const auto serve = [&](const auto& request, auto& response) { service.serve(request, response); };
    server.Get("/records", [&](const auto&, auto& response) { service.records(response); });
    server.Get(".*", serve);
    server.Post(".*", serve);
    server.Put(".*", serve);
    server.Delete(".*", serve);
    return address ? fakes::serveUntilKilled(server, *address) : 2;
}
