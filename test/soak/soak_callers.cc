#include "soak/soak_callers.h"

#include <array>
#include <httplib.h>

namespace marigoldladder::soak {

namespace {

    constexpr auto answerTimeout = std::chrono::seconds(4); // Above the deadline that requests state.
    constexpr auto connectTimeout = std::chrono::seconds(1);
    constexpr auto pause = std::chrono::milliseconds(5);
    constexpr auto returnDelay = std::chrono::milliseconds(30);
    constexpr auto requestsOfAConnection = 40;
    constexpr auto returns = 3; // At most, after answers that promise that the request hasn't run.

    constexpr auto paths = std::array {
        std::pair { RouteKind::Repeatable, "/plain/x" },
        std::pair { RouteKind::AtMostOnce, "/charge/x" },
        std::pair { RouteKind::Resumable, "/stream/x" },
        std::pair { RouteKind::StreamOnce, "/once/x" },
    };

    auto pathOf(RouteKind kind) -> const char*
    {
        const auto found = std::find_if(
            paths.begin(), paths.end(), [&](const auto& entry) { return entry.first == kind; });
        return found->second;
    }

    auto clientFor(const Address& relay) -> httplib::Client
    {
        auto client = httplib::Client(relay.m_host, relay.m_port);
        client.set_keep_alive(true);
        client.set_connection_timeout(connectTimeout);
        client.set_read_timeout(answerTimeout);
        return client;
    }

    auto callOver(httplib::Client& client, RouteKind kind, const std::string& requestId,
        const std::string& operation) -> Attempt
    {
        auto attempt = Attempt();
        attempt.m_id = requestId;
        attempt.m_operation = operation;
        attempt.m_kind = kind;
        auto request = httplib::Request();
        request.method = "POST";
        request.path = pathOf(kind);
        request.body = operation;
        request.headers = { { "Host", "h.example" }, { "X-Marigoldladder-Request-Id", requestId },
            { "X-Marigoldladder-Deadline-Ms", "3000" }, { "Api-Key", "key-1" } };
        request.response_handler = [&](const httplib::Response& response) {
            attempt.m_status = response.status;
            attempt.m_signed = response.has_header("X-Marigoldladder-Server-Stamp");
            return true;
        };
        request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
            attempt.m_body.append(data, size);
            return true;
        };
        attempt.m_complete = static_cast<bool>(client.send(request));
        return attempt;
    }

} // namespace

SoakCallers::SoakCallers(
    std::vector<Address> relays, std::size_t callers, std::uint32_t seed, SoakRecord& record)
    : m_relays(std::move(relays))
    , m_record(record)
{
    for (auto caller = std::uint32_t { 0 }; caller < callers; ++caller)
        m_callers.emplace_back([this, seed, caller] { callAgainAndAgain(seed * 1'000 + caller); });
}

SoakCallers::~SoakCallers()
{
    m_ending = true;
    for (auto& caller : m_callers)
        caller.join();
}

auto SoakCallers::callAgainAndAgain(std::uint32_t seed) -> void
{
    auto random = std::mt19937(seed);
    auto number = 0;
    while (!m_ending) {
        auto client = clientFor(m_relays[random() % m_relays.size()]);
        for (auto sent = 0; sent < requestsOfAConnection && !m_ending; ++sent) {
            const auto kind = paths[random() % paths.size()].first;
            const auto operation = "c" + std::to_string(seed) + "-" + std::to_string(++number);
            auto attempt = callOver(client, kind, operation + "-0", operation);
            const auto lost = !attempt.m_complete;
            m_record.noteAttempt(attempt);
            if (saysNotRun(attempt.m_status))
                comeBack(std::move(attempt), random);
            std::this_thread::sleep_for(pause);
            if (lost)
                break;
        }
    }
}

auto SoakCallers::comeBack(Attempt refused, std::mt19937& random) -> void
{
    for (auto attempts = 1; attempts <= returns && saysNotRun(refused.m_status); ++attempts) {
        std::this_thread::sleep_for(returnDelay);
        const auto& relay = m_relays[random() % m_relays.size()];
        const auto id = refused.m_operation + "-" + std::to_string(attempts);
        refused = callOnce(relay, refused.m_kind, id, refused.m_operation);
        m_record.noteAttempt(refused);
    }
}

auto callOnce(const Address& relay, RouteKind kind, const std::string& requestId,
    const std::string& operation) -> Attempt
{
    auto client = clientFor(relay);
    return callOver(client, kind, requestId, operation);
}

} // namespace marigoldladder::soak
