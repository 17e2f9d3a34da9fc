// Stand-in for the platform: versioned objects over HTTP in the shape of Kubernetes' published API.
//
// Faults are set with `POST /fault`: `mode` is `up`, `down` (every call is refused) or `hang` (no call is
// answered), `delay_ms` slows each call, and the next `lose_replies` writes take effect without an answer.
// `GET /stats` counts the calls.
#include "fake_server.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <docopt/docopt.h>
#include <map>
#include <mutex>
#include <thread>

namespace marigoldladder::fakes {

namespace {

    constexpr auto usage = R"(fake-platform - stand-in for the platform's object API.

Usage:
  fake-platform [--address ADDRESS]

Options:
  --address ADDRESS  Where to listen [default: 127.0.0.1:0].
)";

    constexpr auto kindPattern = "/api/v1/([a-z]+)";
    constexpr auto objectPattern = "/api/v1/([a-z]+)/([^/]+)";
    constexpr auto maxValueBytes = std::size_t { 1 } << 20;
    constexpr auto maxKeptEvents = std::size_t { 10'000 };
    constexpr auto hangStep = std::chrono::milliseconds(50);
    constexpr auto defaultWatchMilliseconds = 10'000;

    struct StoredObject {
        std::uint64_t m_version = 0;
        nlohmann::json m_spec;
    };

    struct StoredEvent {
        std::uint64_t m_version = 0;
        std::string m_kind;
        std::string m_line;
    };

    struct Faults {
        std::string m_mode = "up";
        int m_delayMilliseconds = 0;
        int m_loseReplies = 0;
    };

    struct CallCounts {
        std::uint64_t m_reads = 0;
        std::uint64_t m_writes = 0;
        std::uint64_t m_watches = 0;
        std::map<std::string, std::uint64_t> m_byKind;
    };

    auto objectJson(const std::string& name, const StoredObject& object) -> nlohmann::json
    {
        const auto version = std::to_string(object.m_version);
        return { { "metadata", { { "name", name }, { "resourceVersion", version } } },
            { "spec", object.m_spec } };
    }

    class FakePlatform {
    public:
        auto addRoutes(httplib::Server& server) -> void;

    private:
        // Applies delay and outage; false when the call must not be answered as usual.
        auto admit(const std::string& kind, bool write, httplib::Response&) -> bool;
        auto finishWrite(httplib::Response&) -> void;
        auto list(const httplib::Request&, httplib::Response&) -> void;
        auto watch(const httplib::Request&, httplib::Response&) -> void;
        auto get(const httplib::Request&, httplib::Response&) -> void;
        auto create(const httplib::Request&, httplib::Response&) -> void;
        auto update(const httplib::Request&, httplib::Response&) -> void;
        auto remove(const httplib::Request&, httplib::Response&) -> void;
        auto setFault(const httplib::Request&, httplib::Response&) -> void;
        auto stats(httplib::Response&) -> void;
        auto record(const std::string& type, const std::string& kind, const std::string& name,
            const StoredObject&) -> void;
        auto writeEvents(const std::string& kind, std::uint64_t& after,
            std::chrono::steady_clock::time_point end, httplib::DataSink&) -> bool;

        std::mutex m_mutex;
        std::condition_variable m_changed;
        std::map<std::string, std::map<std::string, StoredObject>> m_kinds;
        std::deque<StoredEvent> m_events;
        std::uint64_t m_version = 0;
        Faults m_faults;
        CallCounts m_counts;
    };

    auto FakePlatform::admit(const std::string& kind, bool write, httplib::Response& response) -> bool
    {
        auto lock = std::unique_lock(m_mutex);
        ++(write ? m_counts.m_writes : m_counts.m_reads);
        ++m_counts.m_byKind[kind];
        const auto delay = std::chrono::milliseconds(m_faults.m_delayMilliseconds);
        if (delay.count() > 0) {
            lock.unlock();
            std::this_thread::sleep_for(delay);
            lock.lock();
        }
        while (m_faults.m_mode == "hang")
            m_changed.wait_for(lock, hangStep);
        if (m_faults.m_mode != "down")
            return true;
        answerJson(response, { { "message", "the platform is down" } }, 503);
        return false;
    }

    auto FakePlatform::finishWrite(httplib::Response& response) -> void
    {
        const auto lock = std::lock_guard(m_mutex);
        m_changed.notify_all();
        if (m_faults.m_loseReplies == 0)
            return;
        --m_faults.m_loseReplies;
        answerJson(response, { { "message", "the reply is lost" } }, 504);
    }

    auto FakePlatform::record(const std::string& type, const std::string& kind, const std::string& name,
        const StoredObject& object) -> void
    {
        const auto json = nlohmann::json { { "type", type }, { "object", objectJson(name, object) } };
        m_events.push_back({ m_version, kind, json.dump() + "\n" });
        if (m_events.size() > maxKeptEvents)
            m_events.pop_front();
    }

    auto FakePlatform::list(const httplib::Request& request, httplib::Response& response) -> void
    {
        const auto kind = request.matches[1].str();
        if (!admit(kind, false, response))
            return;
        if (request.has_param("watch")) {
            watch(request, response);
            return;
        }
        const auto lock = std::lock_guard(m_mutex);
        auto items = nlohmann::json::array();
        for (const auto& [name, object] : m_kinds[kind])
            items.push_back(objectJson(name, object));
        answerJson(response,
            { { "metadata", { { "resourceVersion", std::to_string(m_version) } } }, { "items", items } });
    }

    auto FakePlatform::watch(const httplib::Request& request, httplib::Response& response) -> void
    {
        const auto kind = request.matches[1].str();
        const auto after
            = std::make_shared<std::uint64_t>(std::stoull(request.get_param_value("resourceVersion")));
        auto milliseconds = defaultWatchMilliseconds;
        if (request.has_param("timeoutMilliseconds"))
            milliseconds = std::stoi(request.get_param_value("timeoutMilliseconds"));
        const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds);
        {
            const auto lock = std::lock_guard(m_mutex);
            ++m_counts.m_watches;
        }
        response.set_chunked_content_provider(
            "application/json", [this, kind, after, end](std::size_t, httplib::DataSink& sink) {
                return writeEvents(kind, *after, end, sink);
            });
    }

    auto FakePlatform::writeEvents(const std::string& kind, std::uint64_t& after,
        std::chrono::steady_clock::time_point end, httplib::DataSink& sink) -> bool
    {
        auto lines = std::string();
        {
            auto lock = std::unique_lock(m_mutex);
            m_changed.wait_until(lock, std::min(end, std::chrono::steady_clock::now() + hangStep));
            if (m_faults.m_mode != "up")
                return false;
            for (const auto& event : m_events) {
                if (event.m_version > after && event.m_kind == kind)
                    lines += event.m_line;
            }
            after = std::max(after, m_version);
        }
        if (!lines.empty() && !sink.write(lines.data(), lines.size()))
            return false;
        if (std::chrono::steady_clock::now() >= end)
            sink.done();
        return true;
    }

    auto FakePlatform::get(const httplib::Request& request, httplib::Response& response) -> void
    {
        const auto kind = request.matches[1].str();
        if (!admit(kind, false, response))
            return;
        const auto lock = std::lock_guard(m_mutex);
        const auto name = request.matches[2].str();
        const auto found = m_kinds[kind].find(name);
        if (found == m_kinds[kind].end())
            answerJson(response, { { "message", "not found" } }, 404);
        else
            answerJson(response, objectJson(name, found->second));
    }

    auto FakePlatform::create(const httplib::Request& request, httplib::Response& response) -> void
    {
        const auto kind = request.matches[1].str();
        if (!admit(kind, true, response))
            return;
        const auto body = bodyOf(request);
        if (request.body.size() > maxValueBytes || !body.contains("metadata")) {
            answerJson(response, { { "message", "too large, or no object" } }, 413);
            return;
        }
        {
            const auto lock = std::lock_guard(m_mutex);
            const auto name = body["metadata"].value("name", "");
            if (m_kinds[kind].contains(name)) {
                answerJson(response, { { "message", "already exists" } }, 409);
                return;
            }
            const auto& stored = m_kinds[kind][name]
                = StoredObject { ++m_version, body.value("spec", nlohmann::json::object()) };
            record("ADDED", kind, name, stored);
            answerJson(response, objectJson(name, stored), 201);
        }
        finishWrite(response);
    }

    auto FakePlatform::update(const httplib::Request& request, httplib::Response& response) -> void
    {
        const auto kind = request.matches[1].str();
        if (!admit(kind, true, response))
            return;
        const auto body = bodyOf(request);
        if (request.body.size() > maxValueBytes || !body.contains("metadata")) {
            answerJson(response, { { "message", "too large, or no object" } }, 413);
            return;
        }
        {
            const auto lock = std::lock_guard(m_mutex);
            const auto name = request.matches[2].str();
            const auto found = m_kinds[kind].find(name);
            if (found == m_kinds[kind].end()) {
                answerJson(response, { { "message", "not found" } }, 404);
                return;
            }
            if (body["metadata"].value("resourceVersion", "") != std::to_string(found->second.m_version)) {
                answerJson(response, { { "message", "the object was changed" } }, 409);
                return;
            }
            found->second = { ++m_version, body.value("spec", nlohmann::json::object()) };
            record("MODIFIED", kind, name, found->second);
            answerJson(response, objectJson(name, found->second));
        }
        finishWrite(response);
    }

    auto FakePlatform::remove(const httplib::Request& request, httplib::Response& response) -> void
    {
        const auto kind = request.matches[1].str();
        if (!admit(kind, true, response))
            return;
        {
            const auto lock = std::lock_guard(m_mutex);
            const auto name = request.matches[2].str();
            const auto found = m_kinds[kind].find(name);
            if (found == m_kinds[kind].end()) {
                answerJson(response, { { "message", "not found" } }, 404);
                return;
            }
            ++m_version;
            record("DELETED", kind, name, { m_version, found->second.m_spec });
            m_kinds[kind].erase(found);
            answerJson(response, nlohmann::json::object());
        }
        finishWrite(response);
    }

    auto FakePlatform::setFault(const httplib::Request& request, httplib::Response& response) -> void
    {
        const auto body = bodyOf(request);
        const auto lock = std::lock_guard(m_mutex);
        m_faults.m_mode = body.value("mode", m_faults.m_mode);
        m_faults.m_delayMilliseconds = body.value("delay_ms", m_faults.m_delayMilliseconds);
        m_faults.m_loseReplies = body.value("lose_replies", m_faults.m_loseReplies);
        m_changed.notify_all();
        answerJson(response, nlohmann::json::object());
    }

    auto FakePlatform::stats(httplib::Response& response) -> void
    {
        const auto lock = std::lock_guard(m_mutex);
        answerJson(response,
            { { "reads", m_counts.m_reads }, { "writes", m_counts.m_writes },
                { "watches", m_counts.m_watches }, { "by_kind", m_counts.m_byKind } });
    }

    auto FakePlatform::addRoutes(httplib::Server& server) -> void
    {
        server.Post("/fault", [this](const auto& request, auto& response) { setFault(request, response); });
        server.Get("/stats", [this](const auto&, auto& response) { stats(response); });
        server.Get(kindPattern, [this](const auto& request, auto& response) { list(request, response); });
        server.Post(kindPattern, [this](const auto& request, auto& response) { create(request, response); });
        server.Get(objectPattern, [this](const auto& request, auto& response) { get(request, response); });
        server.Put(objectPattern, [this](const auto& request, auto& response) { update(request, response); });
        server.Delete(
            objectPattern, [this](const auto& request, auto& response) { remove(request, response); });
    }

} // namespace

} // namespace marigoldladder::fakes

auto main(int argc, char** argv) -> int
{
    using namespace marigoldladder;
    const auto arguments = docopt::docopt(fakes::usage, { argv + 1, argv + argc });
    const auto address = parseAddress(arguments.at("--address").asString());
    auto server = httplib::Server();
    fakes::configureFakeServer(server);
    auto platform = fakes::FakePlatform();
    platform.addRoutes(server);
    return address ? fakes::serveUntilKilled(server, *address) : 2;
}
