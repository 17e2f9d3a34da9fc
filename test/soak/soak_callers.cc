#include "soak/soak_callers.h"

#include <array>
#include <boost/asio/write.hpp>
#include <httplib.h>
#include <poll.h>

namespace marigoldladder::soak {

namespace net = boost::asio;

namespace {

    constexpr auto answerTimeout = std::chrono::seconds(4); // Above the deadline that requests state.
    constexpr auto streamDeadlineMilliseconds = "12000"; // Of requests to model engines.
    // Of the site's routes, below the deadlines that plain requests state.
    constexpr auto routeTimeout = std::chrono::milliseconds(2'000);
    constexpr auto engineRouteTimeout = std::chrono::milliseconds(12'000);
    constexpr auto connectTimeout = std::chrono::seconds(1);
    constexpr auto pause = std::chrono::milliseconds(5);
    constexpr auto returnDelay = std::chrono::milliseconds(30);
    constexpr auto requestsOfAConnection = 40;
    constexpr auto adapters = 24U; // That callers ask for, where upstreams are model engines.
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

    auto isStream(RouteKind kind) -> bool
    {
        return kind == RouteKind::Resumable || kind == RouteKind::StreamOnce;
    }

    // What a request to a model engine states, in place of a plain one's deadline.
    auto setEngineHeaders(httplib::Request& request, const std::string& operation) -> void
    {
        const auto adapter = std::hash<std::string>()(operation) % adapters;
        request.headers.erase("X-Marigoldladder-Deadline-Ms");
        request.headers.emplace("X-Marigoldladder-Deadline-Ms", streamDeadlineMilliseconds);
        request.headers.emplace("X-Marigoldladder-Model", "m/a" + std::to_string(adapter));
        request.headers.emplace("X-Marigoldladder-Token-Count", "120,60");
        request.headers.emplace("X-Marigoldladder-Prompt-Prefix", "5c1e:80,91bd:20,e440:20");
    }

    auto callOver(httplib::Client& client, RouteKind kind, const std::string& requestId,
        const std::string& operation, StreamService service) -> Attempt
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
        attempt.m_deadline = routeTimeout;
        if (isStream(kind) && service == StreamService::Engines) {
            setEngineHeaders(request, operation);
            attempt.m_deadline = engineRouteTimeout;
        }
        request.response_handler = [&](const httplib::Response& response) {
            attempt.m_status = response.status;
            attempt.m_signed = response.has_header("X-Marigoldladder-Server-Stamp");
            return true;
        };
        request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
            attempt.m_body.append(data, size);
            return true;
        };
        attempt.m_begun = std::chrono::steady_clock::now();
        const auto result = client.send(request);
        attempt.m_ended = std::chrono::steady_clock::now();
        attempt.m_complete = static_cast<bool>(result);
        attempt.m_sent = result.error() != httplib::Error::Connection
            && result.error() != httplib::Error::ConnectionTimeout;
        return attempt;
    }

    // Connects and sends so much of a request that runs at most once; the socket is closed when it can't.
    auto sendPart(net::ip::tcp::socket& socket, const Address& relay, const std::string& requestId,
        std::size_t percent) -> void
    {
        const auto request = std::string("POST ") + pathOf(RouteKind::AtMostOnce)
            + " HTTP/1.1\r\nHost: h.example\r\nX-Marigoldladder-Request-Id: " + requestId
            + "\r\nX-Marigoldladder-Deadline-Ms: 3000\r\nApi-Key: key-1\r\nContent-Length: "
            + std::to_string(requestId.size()) + "\r\n\r\n" + requestId;
        auto error = boost::system::error_code();
        socket.connect(
            { net::ip::make_address(relay.m_host), static_cast<std::uint16_t>(relay.m_port) }, error);
        if (!error)
            (void)net::write(socket, net::buffer(request.data(), request.size() * percent / 100), error);
        if (error)
            socket.close(error);
    }

} // namespace

SoakCallers::SoakCallers(RelaySite& site, std::size_t callers, std::uint32_t seed, SoakRecord& record)
    : m_site(site)
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

auto SoakCallers::anyRelay(std::mt19937& random) -> Address
{
    const auto relays = m_site.callerAddresses();
    return relays[random() % relays.size()];
}

auto SoakCallers::callAgainAndAgain(std::uint32_t seed) -> void
{
    auto random = std::mt19937(seed);
    auto number = 0;
    while (!m_ending) {
        const auto relay = anyRelay(random);
        auto client = clientFor(relay);
        for (auto sent = 0; sent < requestsOfAConnection && !m_ending; ++sent) {
            const auto kind = paths[random() % paths.size()].first;
            const auto operation = "c" + std::to_string(seed) + "-" + std::to_string(++number);
            auto attempt = callOver(client, kind, operation + "-0", operation, m_site.streamService());
            attempt.m_relay = formatAddress(relay);
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
        const auto relay = anyRelay(random);
        const auto id = refused.m_operation + "-" + std::to_string(attempts);
        refused = callOnce(relay, refused.m_kind, id, refused.m_operation, m_site.streamService());
        m_record.noteAttempt(refused);
    }
}

auto callOnce(const Address& relay, RouteKind kind, const std::string& requestId,
    const std::string& operation, StreamService service) -> Attempt
{
    auto client = clientFor(relay);
    auto attempt = callOver(client, kind, requestId, operation, service);
    attempt.m_relay = formatAddress(relay);
    return attempt;
}

auto resetAfter(const Address& relay, const std::string& requestId, std::size_t percent,
    std::chrono::milliseconds time) -> Attempt
{
    auto context = net::io_context(1);
    auto socket = net::ip::tcp::socket(context);
    sendPart(socket, relay, requestId, percent);
    std::this_thread::sleep_for(time);
    auto ignored = boost::system::error_code();
    socket.set_option(net::socket_base::linger(true, 0), ignored); // Closing it sends a reset.
    auto attempt = Attempt();
    attempt.m_id = requestId;
    attempt.m_operation = requestId;
    attempt.m_kind = RouteKind::AtMostOnce;
    attempt.m_sent = false; // It waits for no answer.
    return attempt;
}

auto isAnsweredHalfClosed(const Address& relay, const std::string& requestId) -> bool
{
    auto context = net::io_context(1);
    auto socket = net::ip::tcp::socket(context);
    sendPart(socket, relay, requestId, 100);
    auto error = boost::system::error_code();
    socket.shutdown(net::ip::tcp::socket::shutdown_send, error);
    auto waiting = pollfd { socket.native_handle(), POLLIN, 0 };
    if (error || ::poll(&waiting, 1, static_cast<int>(answerTimeout / std::chrono::milliseconds(1))) != 1)
        return false;
    auto bytes = std::array<char, 16>();
    return socket.read_some(net::buffer(bytes), error) > 0;
}

} // namespace marigoldladder::soak
