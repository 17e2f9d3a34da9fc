#include "serving/caller_server.h"

#include "core/posix_thread.h"
#include "objects/bounded_server.h"
#include "objects/http_port.h"
#include "serving/address_answer.h"
#include "serving/admission.h"
#include "serving/caller_request.h"
#include "serving/http_answer.h"

#include <algorithm>
#include <atomic>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto keepAliveRequests = std::size_t { 100'000 };
    constexpr auto keepAliveTimeout = std::chrono::seconds(30);
    constexpr auto completionsPattern = "/v1/(chat/)?completions";
    constexpr auto servicesPattern = R"(/services/([^/?]+)(/.*)?)";

    auto callerRequestOf(const httplib::Request& request) -> CallerRequest
    {
        return { request.method, request.path, request.get_header_value("Authorization"),
            request.get_header_value("Content-Type"), request.get_header_value("Idempotency-Key"),
            request.body };
    }

    // A single request at its limit always finds room.
    auto serverBounds(const IntakeLimits& limits) -> ServerBounds
    {
        auto bounds = ServerBounds();
        bounds.m_connections = limits.m_maxConnections;
        bounds.m_request.m_bodyBytes = limits.m_maxRequestBytes;
        bounds.m_heldBytes = std::max(limits.m_maxHeldBytes, 2 * limits.m_maxRequestBytes);
        return bounds;
    }

    auto recordOf(const ServeCall& call) -> RequestRecord
    {
        const auto target = call.m_adapter.m_name.empty() ? call.m_path : formatAdapterRef(call.m_adapter);
        return { call.m_requestId, call.m_organisation, target, {}, {}, {} };
    }

} // namespace

struct CallerServer::Implementation {
    Implementation(const NodeSettings& settings, Blackboard& blackboard, Allowance& allowance,
        RequestRunner& runner, KeyedService& keyed)
        : m_settings(settings)
        , m_blackboard(blackboard)
        , m_admission(blackboard, allowance)
        , m_runner(runner)
        , m_keyed(keyed)
        , m_server(serverBounds(settings.m_limits))
    {
    }

    auto configureServer() -> void;
    auto addRoutes() -> void;
    auto listen() -> void;

    auto answerAddresses(const httplib::Request&, httplib::Response&) const -> void;
    auto answerHealth(httplib::Response&) const -> void;
    auto serveCompletion(const httplib::Request&, httplib::Response&) -> void;
    auto serveService(const httplib::Request&, httplib::Response&) -> void;

    auto runKeyed(httplib::Response&, const AdmittedCall&) -> void;
    auto run(httplib::Response&, Result<AdmittedCall>) -> void;
    auto fail(httplib::Response&, const Failure&, const RequestId&) -> void;
    auto countEnd(const AnswerEnd&) -> void;
    auto noteEnd(RequestRecord, const AnswerEnd&) -> void;
    auto finish(const Reservation&, const RequestRecord&, const AnswerEnd&) -> void;
    auto countInFlight(int change) -> void;
    auto countOpenRequests() -> void;

    const NodeSettings& m_settings;
    Blackboard& m_blackboard;
    Admission m_admission;
    RequestRunner& m_runner;
    KeyedService& m_keyed;
    BoundedServer m_server;
    int m_port = 0;
    std::atomic<std::size_t> m_openRequests { 0 };
    PosixThread m_thread;
};

auto CallerServer::Implementation::configureServer() -> void
{
    m_server.set_tcp_nodelay(true);
    m_server.set_keep_alive_max_count(keepAliveRequests);
    m_server.set_keep_alive_timeout(keepAliveTimeout.count());
    m_server.set_read_timeout(m_settings.m_limits.m_readTimeout);
    m_server.set_write_timeout(m_settings.m_limits.m_readTimeout);
}

// Counts requests from their first handler to the last byte of their answer. While the node leaves, each
// answer asks the caller to come back on another connection.
auto CallerServer::Implementation::countOpenRequests() -> void
{
    thread_local auto open = false; // A connection keeps its thread, so this is the connection's state.
    m_server.set_pre_routing_handler([this](const auto&, auto&) {
        m_openRequests += open ? 0 : 1;
        open = true;
        return httplib::Server::HandlerResponse::Unhandled;
    });
    m_server.set_post_routing_handler([this](const auto&, auto& response) {
        if (m_blackboard.m_health.read([](const NodeHealth& health) { return health.m_draining; }))
            response.set_header("Connection", "close");
    });
    m_server.set_logger([this](const auto&, const auto&) {
        m_openRequests -= open ? 1 : 0;
        open = false;
    });
}

auto CallerServer::Implementation::addRoutes() -> void
{
    countOpenRequests();
    m_server.Get(
        "/v1/addresses", [this](const auto& request, auto& response) { answerAddresses(request, response); });
    m_server.Get("/healthz", [this](const auto&, auto& response) { answerHealth(response); });
    m_server.Get("/metrics", [this](const auto&, auto& response) {
        response.set_content(m_blackboard.m_metrics.formatForPrometheus(), "text/plain; version=0.0.4");
    });
    m_server.Post(completionsPattern,
        [this](const auto& request, auto& response) { serveCompletion(request, response); });
    const auto service = [this](const auto& request, auto& response) { serveService(request, response); };
    m_server.Get(servicesPattern, service);
    m_server.Post(servicesPattern, service);
    m_server.Put(servicesPattern, service);
    m_server.Patch(servicesPattern, service);
    m_server.Delete(servicesPattern, service);
    m_server.set_error_handler([](const auto&, auto& response) {
        if (!response.body.empty())
            return;
        const auto type = response.status == httpStatus(FailureType::NotFound) ? FailureType::NotFound
                                                                               : FailureType::BadRequest;
        const auto status = response.status;
        writeFailure(response, notRun(type, "no such path, or a request that can't be read"), RequestId());
        response.status = status;
    });
}

auto CallerServer::Implementation::listen() -> void
{
    configureServer();
    addRoutes();
    const auto& address = m_settings.m_callerAddress;
    const auto port = openHttpPort(m_server, address);
    if (!port)
        throw std::runtime_error("can't listen on " + formatAddress(address));
    m_port = *port;
    m_thread = PosixThread("caller-accept", [this] { m_server.listen_after_bind(); });
}

auto CallerServer::Implementation::answerAddresses(
    const httplib::Request& request, httplib::Response& response) const -> void
{
    thread_local auto random = std::mt19937_64(std::random_device()());
    auto question = AddressQuestion { OrganisationName(), random() };
    const auto membership = m_blackboard.m_membership.copy();
    const auto answer = m_blackboard.m_configuration.read([&](const Configuration& configuration) {
        const auto organisation = authenticate(configuration, request.get_header_value("Authorization"));
        if (organisation)
            question.m_organisation = organisation.value();
        return chooseAddresses(membership, configuration, question);
    });
    const auto epoch = keyEpochAt(std::chrono::system_clock::now());
    response.set_content(formatAddressAnswer(answer, epoch), "application/json");
}

auto CallerServer::Implementation::answerHealth(httplib::Response& response) const -> void
{
    const auto health = m_blackboard.m_health.copy();
    const auto serving = health.m_configured && !health.m_draining;
    response.status = serving ? 200 : httpStatus(FailureType::Unavailable);
    const auto json = nlohmann::json {
        { "configured", health.m_configured },
        { "draining", health.m_draining },
        { "platform_reachable", health.m_platformReachable },
        { "requests_in_flight", health.m_requestsInFlight },
    };
    response.set_content(json.dump(), "application/json");
}

auto CallerServer::Implementation::serveCompletion(
    const httplib::Request& request, httplib::Response& response) -> void
{
    run(response, m_admission.admitCompletion(callerRequestOf(request)));
}

auto CallerServer::Implementation::serveService(const httplib::Request& request, httplib::Response& response)
    -> void
{
    const auto route = RouteName(request.matches[1].str());
    const auto path = request.matches[2].matched ? request.matches[2].str() : "/";
    auto admitted = m_admission.admitService(callerRequestOf(request), route, path);
    if (admitted && !admitted.value().m_call.m_idempotent)
        runKeyed(response, admitted.value());
    else
        run(response, std::move(admitted));
}

// Answers a call that must not run twice.
auto CallerServer::Implementation::runKeyed(httplib::Response& response, const AdmittedCall& admitted) -> void
{
    countInFlight(1);
    const auto deadline = std::chrono::steady_clock::now() + m_settings.m_limits.m_requestDeadline;
    const auto answer = m_keyed.serve({ admitted.m_call, admitted.m_route }, deadline);
    if (answer) {
        response.set_header("X-Request-Id", admitted.m_call.m_requestId.value());
        response.status = answer.value().m_status;
        response.set_content(answer.value().m_body, answer.value().m_contentType);
        countEnd(AnswerEnd { true, {}, 0 });
    } else {
        fail(response, answer.error(), admitted.m_call.m_requestId);
    }
    countInFlight(-1);
}

auto CallerServer::Implementation::run(httplib::Response& response, Result<AdmittedCall> admitted) -> void
{
    if (!admitted) {
        if (admitted.error().m_type == FailureType::Unauthorised)
            m_blackboard.m_metrics.add(Counter::AuthenticationRefusals);
        const auto id = makeRequestId();
        fail(response, admitted.error(), id);
        noteEnd({ id, {}, {}, {}, {}, {} }, failedEnd(admitted.error()));
        return;
    }
    const auto& [call, pool, route, reservation] = admitted.value();
    countInFlight(1);
    const auto begun = std::chrono::steady_clock::now();
    const auto deadline = begun + m_settings.m_limits.m_requestDeadline;
    auto started = m_runner.start(call, pool, deadline);
    if (!started) {
        fail(response, started.error(), call.m_requestId);
        noteEnd(recordOf(call), failedEnd(started.error()));
        m_admission.settle(
            reservation, started.error().m_verdict == Verdict::NotRun ? 0 : reservation.m_tokens);
        countInFlight(-1);
        return;
    }
    const auto waited = std::chrono::duration<double>(std::chrono::steady_clock::now() - begun);
    m_blackboard.m_metrics.observe(Latency::FirstToken, waited.count());
    const auto stream = call.m_stream && started.value().m_head.m_status == 200;
    auto record = recordOf(call);
    record.m_upstream = started.value().m_head.m_upstream;
    writeAnswer(response, std::move(started.value()), call.m_requestId, stream,
        [this, charged = reservation, record](const AnswerEnd& end) { finish(charged, record, end); });
}

auto CallerServer::Implementation::finish(
    const Reservation& reservation, const RequestRecord& record, const AnswerEnd& end) -> void
{
    noteEnd(record, end);
    m_admission.settle(reservation, end.m_completed ? end.m_usedTokens : reservation.m_tokens);
    countEnd(end);
    countInFlight(-1);
}

auto CallerServer::Implementation::fail(
    httplib::Response& response, const Failure& failure, const RequestId& id) -> void
{
    writeFailure(response, failure, id);
    countEnd(failedEnd(failure));
}

// Remembers how a request ended, for operators who ask.
auto CallerServer::Implementation::noteEnd(RequestRecord record, const AnswerEnd& end) -> void
{
    if (!end.m_completed)
        record.m_failure = end.m_failure;
    record.m_endedAt = std::chrono::system_clock::now();
    m_blackboard.m_requests.write([&](RequestJournal& journal) { addRecord(journal, std::move(record)); });
}

auto CallerServer::Implementation::countEnd(const AnswerEnd& end) -> void
{
    auto counter = Counter::RequestsServed;
    if (!end.m_completed && end.m_failure.m_verdict == Verdict::NotRun)
        counter = Counter::RequestsRefusedNotRun;
    else if (!end.m_completed && end.m_failure.m_verdict == Verdict::Ran)
        counter = Counter::RequestsRefusedRan;
    else if (!end.m_completed)
        counter = Counter::RequestsRefusedMayHaveRun;
    m_blackboard.m_metrics.add(counter);
}

auto CallerServer::Implementation::countInFlight(int change) -> void
{
    m_blackboard.m_health.write(
        [&](NodeHealth& health) { health.m_requestsInFlight += static_cast<std::uint32_t>(change); });
}

CallerServer::CallerServer(const NodeSettings& settings, Blackboard& blackboard, Allowance& allowance,
    RequestRunner& runner, KeyedService& keyed)
    : m_implementation(std::make_unique<Implementation>(settings, blackboard, allowance, runner, keyed))
{
    m_implementation->listen();
}

CallerServer::~CallerServer()
{
    stop();
}

auto CallerServer::port() const -> int
{
    return m_implementation->m_port;
}

auto CallerServer::openRequests() const -> std::size_t
{
    return m_implementation->m_openRequests;
}

auto CallerServer::stop() -> void
{
    m_implementation->m_server.stop();
    m_implementation->m_thread.join();
}

} // namespace marigoldladder
